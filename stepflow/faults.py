"""What is wrong with what somebody has given the program."""


class BadInput(Exception):
    """A file or a value that can't be taken: its text is one line, and names the file; exit code 2."""
