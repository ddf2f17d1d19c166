"""Reload at SIGHUP: the new configuration is read and validated completely before any of it is applied."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from loguru import logger

from softswitch import interface as i
from softswitch.configuration import (
    Configuration,
    ConfigurationError,
    load_configuration,
    load_operator_file,
)
from softswitch.core.switch import Switch
from softswitch.net.endpoint_watch import EndpointWatch, KnownEvents
from softswitch.net.engine_pool import EnginePool

FIXED_KEYS = ("name", "listen", "limits")  # keys that a reload cannot change
MAX_SHOWN_CLASSES = 200  # characters of the class names in the log line


class Reloader:
    """Owns the configuration in force, and replaces it at a reload."""

    def __init__(
        self, configuration: Configuration, switch: Switch, engines: EnginePool, watch: EndpointWatch
    ) -> None:
        self.active_configuration = configuration
        self.switch = switch
        self.engines = engines
        self.watch = watch
        self.tick = configuration.settings.tick  # a new value takes effect at the next start
        # Called with the operator file's tables and the settings; returns the keys deferred until a restart.
        self.reload_components: Callable[[Any, i.Settings], list[str]] = lambda tables, settings: []
        self.has_components = False

    def reload(self) -> None:
        """Reads the files and applies all of them, or none if one is invalid."""
        figures = self.switch.figures
        try:
            configuration = load_configuration(self.active_configuration)
            known = self._known_events(configuration)
            tables = load_operator_file() if self.has_components else None
        except ConfigurationError as e:
            figures.cfg_invalid += 1
            logger.error("configuration not reloaded, the old one stays: {}", e)
            return
        figures.cfg_accepted += 1
        self._apply(configuration, known, tables)

    def _known_events(self, configuration: Configuration) -> KnownEvents:
        try:
            return self.watch.parse(configuration.known_events)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
            raise ConfigurationError(f"{type(e).__name__}: {e}") from None

    def _apply(self, configuration: Configuration, known: KnownEvents, tables: Any) -> None:
        deferred = configuration.changed_keys(self.active_configuration, FIXED_KEYS)
        if configuration.settings.tick != self.tick:
            deferred.append("settings.tick")
        settings = replace(configuration.settings, tick=self.tick)
        self.engines.settings = settings
        self.switch.apply_settings(settings)
        deferred += self.reload_components(tables, settings)
        self.active_configuration = configuration.with_values_of(self.active_configuration, FIXED_KEYS)
        self.watch.apply_known_events(known)
        self.watch.move(configuration.board.pair)
        classes = ", ".join(c.name for c in settings.classes)[:MAX_SHOWN_CLASSES]
        board = configuration.board
        logger.info("configuration reloaded, board at {}:{}, classes {}", board.host, board.port, classes)
        if deferred:
            logger.warning("configuration: changes of {} take effect at the next start", ", ".join(deferred))
