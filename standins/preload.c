/*
 * Fault injection into one process by LD_PRELOAD: steps of the wall clock, and random failures of system calls
 * with errors that Linux documents. The controlling process maps the same file (standins/preload.py) and may
 * change it at any time. socket and connect fail only for IPv4, recv and send only for TCP over IPv4, and open
 * only for paths below the folder under test; write fails for any regular file.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

enum call {
    ACCEPT, SOCKET, CONNECT, RECV_ACCEPTED, SEND_ACCEPTED, RECV_DIALLED, SEND_DIALLED, WAIT, OPEN, WRITE, SYNC,
    SHORT_RECV, SHORT_SEND, SHORT_WRITE, SCARCE_RECV, SCARCE_SEND, HELD_WAIT,
    WATCH, CALLS
};
enum { ERRORS = 6, DESCRIPTORS = 65536 };

struct fault {
    uint32_t chance;         /* chance of a failure of each call, as a fraction of 2^32 */
    uint32_t count;          /* number of errors that are set below */
    int32_t errors[ERRORS];  /* each failure draws one of these */
    uint64_t injected;       /* number of failures so far */
};

struct control {
    int64_t wall_offset_ns;  /* added to CLOCK_REALTIME */
    uint64_t state;          /* state of the random generator; initially the seed */
    struct fault faults[CALLS];
};

static struct control *control;
static const char *folder;
static unsigned char dialled[DESCRIPTORS];  /* 1 for sockets that this process has connected */

#define REAL(name) ((__typeof__(&name))real(#name))

static void *real(const char *name) { return dlsym(RTLD_NEXT, name); }

__attribute__((constructor)) static void begin(void)
{
    const char *path = getenv("STANDIN_FAULTS");
    int fd = path ? (int)REAL(open)(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    control = mapped == MAP_FAILED ? NULL : mapped;
    folder = getenv("STANDIN_FOLDER");
}

static uint32_t draw(void)
{
    uint64_t x = control->state ? control->state : 88172645463325252ULL;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    control->state = x;
    return (uint32_t)(x >> 16);
}

/* Returns the error that this call has to fail with, or 0. */
static int fails(enum call call)
{
    if (!control || !control->faults[call].chance || !control->faults[call].count)
        return 0;
    struct fault *fault = &control->faults[call];
    if (draw() >= fault->chance)
        return 0;
    fault->injected++;
    return fault->errors[draw() % fault->count];
}

/* Returns the number of bytes to transfer: the given size, or by chance a smaller one. */
static size_t shortened(enum call call, size_t size)
{
    if (!control || size < 2 || !control->faults[call].chance || draw() >= control->faults[call].chance)
        return size;
    control->faults[call].injected++;
    return 1 + draw() % (size - 1);
}

static int is_tcp(int fd)
{
    int type = 0, domain = 0;
    socklen_t size = sizeof type;
    int saved = errno;
    int known = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0;
    size = sizeof domain;
    known = known && getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = saved;
    return known && type == SOCK_STREAM && domain == AF_INET;
}

static int is_dialled(int fd) { return fd >= 0 && fd < DESCRIPTORS && dialled[fd]; }

static int is_file(int fd)
{
    struct stat found;
    int saved = errno;
    int regular = fd > 2 && fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
    errno = saved;
    return regular;
}

static int is_shortage(int error)
{
    return error == ENFILE || error == EMFILE || error == ENOBUFS || error == ENOMEM;
}

#define FAIL_IF(condition, call)                      \
    do {                                              \
        int error = (condition) ? fails(call) : 0;    \
        if (error) {                                  \
            errno = error;                            \
            return -1;                                \
        }                                             \
    } while (0)

int clock_gettime(clockid_t clock, struct timespec *told)
{
    int done = REAL(clock_gettime)(clock, told);
    if (!done && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = told->tv_sec * 1000000000LL + told->tv_nsec + control->wall_offset_ns;
        told->tv_sec = ns / 1000000000LL;
        told->tv_nsec = ns % 1000000000LL;
    }
    return done;
}

int gettimeofday(struct timeval *restrict told, void *restrict zone)
{
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    told->tv_sec = now.tv_sec;
    told->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *told)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (told)
        *told = now.tv_sec;
    return now.tv_sec;
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict size, int flags)
{
    int error = fails(ACCEPT);
    if (error && (is_tcp(fd) || is_shortage(error))) { /* errors of a single connection occur only on TCP */
        errno = error;
        return -1;
    }
    int accepted = REAL(accept4)(fd, address, size, flags);
    if (accepted >= 0 && accepted < DESCRIPTORS)
        dialled[accepted] = 0;
    return accepted;
}

int socket(int domain, int type, int protocol)
{
    FAIL_IF(domain == AF_INET, SOCKET);
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    FAIL_IF(address->sa_family == AF_INET, CONNECT);
    if (fd >= 0 && fd < DESCRIPTORS)
        dialled[fd] = 1;
    return REAL(connect)(fd, address, size);
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    enum call call = is_dialled(fd) ? RECV_DIALLED : RECV_ACCEPTED;
    FAIL_IF(control && control->faults[call].chance && is_tcp(fd), call);
    FAIL_IF(control && control->faults[SCARCE_RECV].chance && is_tcp(fd), SCARCE_RECV);
    return REAL(recv)(fd, data, shortened(SHORT_RECV, size), flags);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    enum call call = is_dialled(fd) ? SEND_DIALLED : SEND_ACCEPTED;
    FAIL_IF(control && control->faults[call].chance && is_tcp(fd), call);
    FAIL_IF(control && control->faults[SCARCE_SEND].chance && is_tcp(fd), SCARCE_SEND);
    return REAL(send)(fd, data, shortened(SHORT_SEND, size), flags);
}

/* May delay the process after the call: the result then lacks events that occur during the delay. */
int epoll_wait(int fd, struct epoll_event *events, int most, int wait)
{
    FAIL_IF(1, WAIT);
    int ready = REAL(epoll_wait)(fd, events, most, wait);
    int saved = errno, held_us = fails(HELD_WAIT);
    if (held_us)
        usleep((useconds_t)held_us);
    errno = saved;
    return ready;
}

int epoll_ctl(int fd, int change, int watched, struct epoll_event *event)
{
    FAIL_IF(change != EPOLL_CTL_DEL, WATCH);
    return REAL(epoll_ctl)(fd, change, watched, event);
}

int poll(struct pollfd *fds, nfds_t count, int wait)
{
    FAIL_IF(1, WAIT);
    return REAL(poll)(fds, count, wait);
}

static int below_folder(const char *path)
{
    return folder && strncmp(path, folder, strlen(folder)) == 0;
}

int open(const char *path, int flags, ...)
{
    va_list rest;
    va_start(rest, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    FAIL_IF(below_folder(path), OPEN);
    return REAL(open)(path, flags, mode);
}

/* On platforms whose file offsets always have 64 bits, open64 is the same function as open. */
int open64(const char *path, int flags, ...) __attribute__((alias("open")));

ssize_t write(int fd, const void *data, size_t size)
{
    FAIL_IF(control && control->faults[WRITE].chance && is_file(fd), WRITE);
    if (control && control->faults[SHORT_WRITE].chance && is_file(fd))
        size = shortened(SHORT_WRITE, size);
    return REAL(write)(fd, data, size);
}

int fsync(int fd)
{
    FAIL_IF(1, SYNC);
    return REAL(fsync)(fd);
}

int fdatasync(int fd)
{
    FAIL_IF(1, SYNC);
    return REAL(fdatasync)(fd);
}
