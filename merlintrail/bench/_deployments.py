"""Deployments of the overload benchmarks.

They have the services of the configurations in ``examples/``, scaled down.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from merlintrail.lab.processes import WorkerPlan
from merlintrail.load import LoadKind

#: Number of workers of each service, which are in different data centres.
WORKERS_PER_SERVICE: Final = 3
_MS_PER_S: Final = 1000


class BenchService(NamedTuple):
    """A service of a bench deployment and its nested calls."""

    name: str
    #: Number of requests that a backend server runs at a time.
    slots: int
    #: Mean service time, without nested calls.
    service_ms: float
    #: Targets of the nested calls, ``/SERVICE/PATH``.
    children: tuple[str, ...] = ()


class BenchRequestKind(NamedTuple):
    """A request kind of a bench deployment."""

    service: str
    name: str
    importance: str
    #: Share of the total load.
    share: float
    is_idempotent: bool = True


class BenchDeployment(NamedTuple):
    """Services and request kinds of a deployment."""

    name: str
    services: Sequence[BenchService]
    kinds: Sequence[BenchRequestKind]
    #: The service at the end of every call chain.
    deepest: str
    #: Deadline of every request kind.
    deadline_ms: float

    def compute_capacity(self) -> float:
        """Return the capacity of the deepest service in requests per second."""
        deepest = next(
            service for service in self.services if service.name == self.deepest
        )
        return (
            WORKERS_PER_SERVICE * deepest.slots * _MS_PER_S / deepest.service_ms
        )

    def build_document(self) -> Mapping[str, Any]:
        """Build the configuration document."""
        return {
            'format': 1,
            'services': [
                {
                    'name': service.name,
                    'warmup_s': 2,
                    'kinds': self._build_kinds(service.name),
                }
                for service in self.services
            ],
            'regions': [
                {
                    'name': 'one',
                    'data_centres': [
                        f'one-{number}' for number in range(WORKERS_PER_SERVICE)
                    ],
                }
            ],
        }

    def build_plans(self) -> list[WorkerPlan]:
        """Build the plans of all workers."""
        return [
            WorkerPlan(
                f'{service.name}-{number}',
                f'one-{number}',
                {
                    'service': service.name,
                    'slots': service.slots,
                    'service_ms': service.service_ms,
                    'children': service.children,
                },
            )
            for service in self.services
            for number in range(WORKERS_PER_SERVICE)
        ]

    def build_load(
        self, rate: float, client_retries: int = 0
    ) -> list[LoadKind]:
        """Build the load of all request kinds.

        :param rate: requests per second of all kinds together.
        :param client_retries: times that a client retries a failed request.
        """
        return [
            LoadKind(
                kind.name,
                f'/{kind.service}/{kind.name}',
                rate * kind.share,
                self.deadline_ms,
                is_keyed=not kind.is_idempotent,
                client_retries=client_retries,
            )
            for kind in self.kinds
        ]

    def _build_kinds(self, service: str) -> list[Mapping[str, Any]]:
        kinds: list[Mapping[str, Any]] = [
            {
                'name': kind.name,
                'path': f'/{kind.name}',
                'importance': kind.importance,
                'idempotent': kind.is_idempotent,
                'deadline_ms': self.deadline_ms,
                'retries': 2,
            }
            for kind in self.kinds
            if kind.service == service
        ]
        kinds.append(
            {
                'name': 'below',
                'path': '/below',
                'importance': 'normal',
                'idempotent': True,
                'deadline_ms': self.deadline_ms,
            }
        )
        return kinds


BEDENREHBER: Final = BenchDeployment(
    'bedenrehber',
    (
        BenchService('fitadvisor', 25, 20, ('/chartdesk/below',)),
        BenchService('chartdesk', 28, 10, ('/partnerhub/below',)),
        BenchService('returnsdesk', 28, 20, ('/partnerhub/below',)),
        BenchService('partnerhub', 10, 50),
    ),
    (
        BenchRequestKind('fitadvisor', 'advice', 'critical', 0.1),
        BenchRequestKind('returnsdesk', 'returns', 'high', 0.2),
        BenchRequestKind('partnerhub', 'directory', 'normal', 0.2),
        BenchRequestKind('chartdesk', 'sync', 'low', 0.5),
    ),
    'partnerhub',
    2000,
)

RETTELSE: Final = BenchDeployment(
    'rettelse',
    (
        BenchService('tidslinje', 16, 20, ('/rettelser/below',)),
        BenchService('rettelser', 20, 15, ('/noter/below',)),
        BenchService('noter', 20, 15, ('/vault/below',)),
        BenchService('vault', 10, 60),
    ),
    (
        BenchRequestKind('rettelser', 'corrections', 'critical', 0.1),
        BenchRequestKind('tidslinje', 'lookup', 'high', 0.25),
        BenchRequestKind('noter', 'clarifications', 'normal', 0.2),
        BenchRequestKind('vault', 'index', 'low', 0.45),
    ),
    'vault',
    2000,
)
