"""What the entry of a node decides for the customers of requests."""

from collections.abc import Callable

from merlintrail.node.serving._resolution import Resolution
from merlintrail.protocol import (
    CallerHeaders,
    Importance,
    Outcome,
    Reason,
    Refusal,
    compute_draw,
    compute_priority,
)
from merlintrail.state import (
    ConfigurationHolder,
    Customer,
    FairOrder,
    QuotaLimiter,
)


class CustomerEntry:
    """Identifies customers, keeps their quotas, and orders their requests."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        quotas: QuotaLimiter,
        fair_order: FairOrder,
        clock: Callable[[], float],
    ) -> None:
        self._holder = holder
        self._quotas = quotas
        self._fair_order = fair_order
        self._clock = clock

    @property
    def has_customers(self) -> bool:
        """Whether the configuration names any customers."""
        configuration = self._holder.current
        return configuration is not None and bool(configuration.customers)

    def identify(
        self, headers: CallerHeaders, resolution: Resolution
    ) -> Customer | Refusal | None:
        """Return the customer of a caller's request, or why it has none.

        :returns: ``None`` if the request needs none.
        """
        configuration = self._holder.current
        if configuration is None or not configuration.customers:
            return None
        if resolution.is_public:
            return None
        customer = configuration.customers.identify(headers.api_key)
        if customer is not None:
            return customer
        if headers.api_key is None and headers.context is not None:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.UNKNOWN_PARENT,
                'no API key, and the parent does not run at this node',
            )
        return Refusal(
            Outcome.NOT_RUN,
            Reason.UNKNOWN_API_KEY,
            'the API key is missing or unknown',
        )

    def check_quota(self, customer: Customer | None) -> Refusal | None:
        """Count a request; refuse it beyond the quota of its customer."""
        if customer is None:
            return None
        verdict = self._quotas.admit(customer, self._clock())
        if verdict.is_admitted:
            return None
        age_s = verdict.age_s
        known = 'none yet' if age_s is None else f'{age_s:.1f} s old'
        return Refusal(
            Outcome.NOT_RUN,
            Reason.QUOTA_EXCEEDED,
            f'beyond {customer.rate_per_s:g}/s of customer {customer.name}: '
            f'limited by {verdict.limited_by}, share {verdict.share:.2f}, '
            f'answer of the collector {known}',
            verdict.retry_after_s,
        )

    def return_token(self, customer: Customer | None) -> None:
        """Take an admitted request that did not run out of the quota."""
        if customer is not None:
            self._quotas.cancel(customer, self._clock())

    def choose_priority(
        self,
        importance: Importance,
        customer: Customer | None,
        request_id: str,
    ) -> int:
        """Return the priority of a caller's request.

        A customer's importance goes before that of the request kind. Within it
        the requests of customers are ordered such that what is shed is fair.
        """
        if customer is None:
            return compute_priority(importance, request_id)
        if customer.importance is not None:
            importance = customer.importance
        sublevel = self._fair_order.choose_sublevel(
            customer.name, compute_draw(request_id)
        )
        return compute_priority(importance, request_id, sublevel)
