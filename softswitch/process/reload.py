"""SIGHUP: the configuration is read again, completely and strictly, before anything of it is taken."""

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

FIXED_KEYS = ("name", "listen", "limits")  # what a reload can't change
MAX_SHOWN_CLASSES = 200  # characters


class Reloader:
    """Owner of the configuration in force."""

    def __init__(
        self, configuration: Configuration, switch: Switch, engines: EnginePool, watch: EndpointWatch
    ) -> None:
        self.running = configuration
        self.switch = switch
        self.engines = engines
        self.watch = watch
        self.tick = configuration.settings.tick  # holds until the next start
        # Given the operator file's tables and the settings; returns what changes at the next start only.
        self.reload_components: Callable[[Any, i.Settings], list[str]] = lambda tables, settings: []
        self.has_components = False

    def reload(self) -> None:
        """Takes the files as they are now, or nothing of them."""
        figures = self.switch.figures
        try:
            configuration = load_configuration(self.running)
            known = self._known_events(configuration)
            tables = load_operator_file() if self.has_components else None
        except ConfigurationError as e:
            figures.cfg_invalid += 1
            logger.error("configuration not reloaded, the old one stays: {}", e)
            return
        figures.cfg_accepted += 1
        self._take(configuration, known, tables)

    def _known_events(self, configuration: Configuration) -> KnownEvents:
        try:
            return self.watch.parse(configuration.known_events)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as e:
            raise ConfigurationError(f"{type(e).__name__}: {e}") from None

    def _take(self, configuration: Configuration, known: KnownEvents, tables: Any) -> None:
        delayed = configuration.changed_keys(self.running, FIXED_KEYS)
        if configuration.settings.tick != self.tick:
            delayed.append("settings.tick")
        settings = replace(configuration.settings, tick=self.tick)
        self.engines.settings = settings
        self.switch.apply_settings(settings)
        delayed += self.reload_components(tables, settings)
        self.running = configuration.with_values_of(self.running, FIXED_KEYS)
        self.watch.apply_known_events(known)
        self.watch.move(configuration.board.pair)
        classes = ", ".join(c.name for c in settings.classes)[:MAX_SHOWN_CLASSES]
        board = configuration.board
        logger.info("configuration reloaded, board at {}:{}, classes {}", board.host, board.port, classes)
        if delayed:
            logger.warning("configuration: {} changes at the next start only", ", ".join(delayed))
