"""Reload at SIGHUP: the two files are read again, and the node goes on with what may change while it runs.

Responsible for handing new settings to every part that holds the old ones, in one step; a file that can't be
taken changes nothing. Owns the current configuration. Spans are timedeltas of the node's clock.
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

# A file that can't be read just now is read again; a new configuration counts as known 4 s after its signal.
READ_RETRY_DELAY, READ_RETRY_LIMIT = timedelta(milliseconds=50), timedelta(seconds=3)

# Fields of NodeConfig that a reload passes over in silence or takes; the last three matter at a start only.
CHANGEABLE = ("discovery", "settings", "tree", "seed", "known", "ops")

# Reads both files; the configuration is the one that the new one replaces.
ReadFiles = Callable[[NodeConfig], tuple[NodeConfig, OperatorFile]]


class Reloader:
    """Holds the current configuration, and replaces it."""

    def __init__(
        self, parts: NodeParts, config: NodeConfig, operators: OperatorFile, read_files: ReadFiles
    ) -> None:
        self._parts, self._read_files = parts, read_files
        self.config, self._operators = config, operators
        self.settings = config.settings.policy  # with the classes of all settings so far

    def follow_recording(self) -> None:
        """Record traffic as the operators' file says now."""
        self._parts.recording.follow(self._operators.record, self.settings)

    def reload(self) -> None:
        """Read the files again and go on with them, as far as they can change while the node runs."""
        self._reload(self._parts.clock.now() + READ_RETRY_LIMIT)

    def _reload(self, until: timedelta) -> None:
        parts = self._parts
        if self._parts.shutdown.has_begun:
            return
        try:
            config, operators = self._read_files(self.config)
        except InputError as error:
            if error.is_transient and parts.clock.now() < until:
                parts.timers.after(READ_RETRY_DELAY, lambda: self._reload(until))
                return
            parts.counters.reloads_failed += 1
            log.warning("reload turned down, the old configuration goes on", fault=error)
            return
        self._apply(config, operators)
        parts.counters.reloads += 1
        log.info("reloaded", discovery=config.discovery)

    def _apply(self, config: NodeConfig, operators: OperatorFile) -> None:
        old = self.config
        self.config = old._replace(discovery=config.discovery, settings=config.settings, tree=config.tree)
        for key, old_value, value in zip(old._fields, old, config, strict=True):
            if key not in CHANGEABLE and value != old_value:
                log.warning("reload passes over what can't change while the node runs", key=key)
        if operators.log != self._operators.log:
            set_up(operators.log.form, operators.log.level)
        self._operators = operators
        if config.settings != old.settings:
            self._update_settings(config.settings)
        self.follow_recording()
        if config.discovery != old.discovery:
            self._parts.discovery.change_address(config.discovery)

    def _update_settings(self, update: NodeSettings) -> None:
        """Hand new settings to all who hold the old ones, in one step."""
        parts = self._parts
        self.settings = merge_settings(self.settings, update.policy)
        self._parts.core.update_settings(self.settings)
        parts.upstreams.update_settings(update._replace(policy=self.settings))
        parts.liveness.update_latency_threshold(latency_threshold(update.policy.classes))
        parts.session_reports.update_settings(update)
        parts.clients.classes = class_indexes(self.settings, update.policy)
        parts.clients.tenants = tenant_indexes(self.settings)
        log.info("takes settings", classes=",".join(cls.name for cls in update.policy.classes))
