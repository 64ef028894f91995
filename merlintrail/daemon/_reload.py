"""Settings that change while the process runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from merlintrail.node import InvalidSettings, Settings, parse_settings
from merlintrail.observability import create_logger

#: Seconds between looks at the settings file.
LOOK_INTERVAL_S: Final = 1.0

_LOG: Final = create_logger('daemon')


class SettingsReloader:
    """Follows the settings file, at a signal and when its content changes.

    Settings with faults are reported and change nothing.
    """

    def __init__(
        self, path: str, text: str, apply: Callable[[Settings], None]
    ) -> None:
        """Create a reloader.

        :param text: content that is in force.
        :param apply: takes settings that are in order.
        """
        self._path = Path(path)
        self._text = text
        self._apply = apply
        self._is_asked = asyncio.Event()

    def ask(self) -> None:
        """Have the file read now."""
        self._is_asked.set()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            is_signal = await self._wait()
            self._look(is_signal=is_signal)

    async def _wait(self) -> bool:
        """Wait for the signal or the next look; tell whether it came."""
        try:
            async with asyncio.timeout(LOOK_INTERVAL_S):
                await self._is_asked.wait()
        except TimeoutError:
            return False
        self._is_asked.clear()
        return True

    def _look(self, *, is_signal: bool) -> None:
        try:
            text = self._path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            _LOG.error('settings unreadable', extra={'reason': str(error)})
            return
        is_changed = text != self._text
        if not is_changed and not is_signal:
            return
        self._text = text
        settings = parse_settings(text)
        if isinstance(settings, InvalidSettings):
            _LOG.error(
                'settings have faults; the earlier ones stay in force',
                extra={'findings': [str(item) for item in settings.findings]},
            )
            return
        self._apply(settings)
        _LOG.info(
            'settings reloaded',
            extra={'is_signal': is_signal, 'is_changed': is_changed},
        )
