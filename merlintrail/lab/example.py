"""Configuration and workers of the example deployment of ``make run``."""

from collections.abc import Mapping, Sequence
from typing import Any

from merlintrail.lab.processes import WorkerPlan


def build_document() -> Mapping[str, Any]:
    """Build the configuration document of the example deployment."""

    def describe_kind(
        name: str, importance: str, deadline_ms: int, *, idempotent: bool
    ) -> Mapping[str, Any]:
        return {
            'name': name,
            'path': f'/{name}',
            'importance': importance,
            'idempotent': idempotent,
            'deadline_ms': deadline_ms,
            'retries': 2,
        }

    return {
        'format': 1,
        'services': [
            {
                'name': 'fitadvisor',
                'kinds': [
                    describe_kind('advice', 'critical', 800, idempotent=True),
                    describe_kind('credits', 'high', 2000, idempotent=False),
                ],
            },
            {
                'name': 'chartdesk',
                'kinds': [
                    describe_kind('charts', 'high', 800, idempotent=True),
                    describe_kind('sync', 'low', 2000, idempotent=True),
                ],
            },
        ],
        'regions': [
            {'name': 'marmara', 'data_centres': ['marmara-1', 'marmara-2']}
        ],
    }


def build_plans() -> Sequence[WorkerPlan]:
    """Build the workers of the example deployment."""
    advisor_backend = {
        'service': 'fitadvisor',
        'slots': 25,
        'children': ['/chartdesk/charts'],
    }
    desk_backend = {'service': 'chartdesk', 'slots': 25, 'service_ms': 5}
    return [
        WorkerPlan('fitadvisor-1', 'marmara-1', advisor_backend),
        WorkerPlan('fitadvisor-2', 'marmara-2', advisor_backend),
        WorkerPlan('chartdesk-1', 'marmara-1', desk_backend),
        WorkerPlan('chartdesk-2', 'marmara-2', desk_backend),
    ]
