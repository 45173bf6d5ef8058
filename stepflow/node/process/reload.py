"""Reload on SIGHUP: read both files again and apply what can change while the node runs.

Responsible for passing new settings, in one step, to every part that holds the old ones; a file that is
refused changes nothing. Owns the current configuration. Durations are timedeltas of the node's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from stepflow.daemon import OperatorFile
from stepflow.errors import InputError
from stepflow.logs import get_logger, set_up
from stepflow.node.process.build import NodeParts, class_indexes, latency_threshold, tenant_indexes
from stepflow.node.process.config import NodeConfig
from stepflow.settings import NodeSettings, merge_settings

log = get_logger()

# If reading a file fails with a transient error, the file is read again. The node has to use a new
# configuration within 4 s of the signal.
READ_RETRY_DELAY, READ_RETRY_LIMIT = timedelta(milliseconds=50), timedelta(seconds=3)

# Fields of NodeConfig that a reload applies, or ignores without a warning: the last three matter only at the
# start.
CHANGEABLE = ("discovery", "settings", "tree", "seed", "known", "ops")

# Reads both files; the argument is the configuration to be replaced.
ReadFiles = Callable[[NodeConfig], tuple[NodeConfig, OperatorFile]]


class Reloader:
    """Holds the current configuration and replaces it on a reload."""

    def __init__(
        self, parts: NodeParts, config: NodeConfig, operator_file: OperatorFile, read_files: ReadFiles
    ) -> None:
        self._parts, self._read_files = parts, read_files
        self.config, self._operator_file = config, operator_file
        self.settings = config.settings.policy  # with the classes of all settings since the start

    def update_recording(self) -> None:
        """Record traffic as the current operators' file says."""
        self._parts.recording.apply(self._operator_file.record, self.settings)

    def reload(self) -> None:
        """Read the files again, and apply what can change while the node runs."""
        self._reload(self._parts.clock.now() + READ_RETRY_LIMIT)

    def _reload(self, until: timedelta) -> None:
        parts = self._parts
        if self._parts.shutdown.has_begun:
            return
        try:
            config, operator_file = self._read_files(self.config)
        except InputError as error:
            if error.is_transient and parts.clock.now() < until:
                parts.timers.after(READ_RETRY_DELAY, lambda: self._reload(until))
                return
            parts.counters.reloads_failed += 1
            log.warning("reload failed, keeping the old configuration", fault=error)
            return
        self._apply(config, operator_file)
        parts.counters.reloads += 1
        log.info("reloaded", discovery=config.discovery)

    def _apply(self, config: NodeConfig, operator_file: OperatorFile) -> None:
        old = self.config
        self.config = old._replace(discovery=config.discovery, settings=config.settings, tree=config.tree)
        for key, old_value, value in zip(old._fields, old, config, strict=True):
            if key not in CHANGEABLE and value != old_value:
                log.warning("reload ignored settings that need a restart", key=key)
        if operator_file.log != self._operator_file.log:
            set_up(operator_file.log.form, operator_file.log.level)
        self._operator_file = operator_file
        if config.settings != old.settings:
            self._update_settings(config.settings)
        self.update_recording()
        if config.discovery != old.discovery:
            self._parts.discovery.change_address(config.discovery)

    def _update_settings(self, update: NodeSettings) -> None:
        """Pass new settings to every part that holds the old ones, in one step."""
        parts = self._parts
        self.settings = merge_settings(self.settings, update.policy)
        self._parts.core.update_settings(self.settings)
        parts.upstreams.update_settings(update._replace(policy=self.settings))
        parts.discovery.update_rules(self.settings.rules)
        parts.liveness.update_latency_threshold(latency_threshold(update.policy.classes))
        parts.session_reports.update_settings(update)
        parts.clients.classes = class_indexes(self.settings, update.policy)
        parts.clients.tenants = tenant_indexes(self.settings)
        log.info("settings updated", classes=",".join(cls.name for cls in update.policy.classes))
