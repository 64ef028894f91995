"""Reload of the settings file while the process runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from merlintrail.node import InvalidSettings, Settings, parse_settings
from merlintrail.observability import create_logger

#: Seconds between polls of the settings file.
POLL_INTERVAL_S: Final = 1.0

_LOG: Final = create_logger('daemon')


class SettingsReloader:
    """Reloads the settings file on a signal and when its content changes.

    Invalid settings are logged, and the settings in force stay unchanged.
    """

    def __init__(
        self, path: str, text: str, apply_settings: Callable[[Settings], None]
    ) -> None:
        """Create a reloader.

        :param path: path of the settings file.
        :param text: content of the file when the process started.
        :param apply_settings: called with each valid version of the settings.
        """
        self._path = Path(path)
        self._text = text
        self._apply_settings = apply_settings
        self._reload_requested = asyncio.Event()

    def request_reload(self) -> None:
        """Request an immediate reload, even if the file is unchanged."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Poll the file and serve reload requests until cancelled."""
        while True:
            is_signal = await self._wait_for_request()
            self._reload(is_signal=is_signal)

    async def _wait_for_request(self) -> bool:
        """Wait for a reload request, at most until the next poll.

        :returns: whether a reload was requested.
        """
        try:
            async with asyncio.timeout(POLL_INTERVAL_S):
                await self._reload_requested.wait()
        except TimeoutError:
            return False
        self._reload_requested.clear()
        return True

    def _reload(self, *, is_signal: bool) -> None:
        """Apply the file if its content changed or a signal requested it."""
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
                extra={
                    'findings': [str(finding) for finding in settings.findings]
                },
            )
            return
        self._apply_settings(settings)
        _LOG.info(
            'settings reloaded',
            extra={'is_signal': is_signal, 'is_changed': is_changed},
        )
