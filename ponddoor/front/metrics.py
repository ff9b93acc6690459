"""Serves a front's metrics in the Prometheus text format and the fleet's state, at a separate address."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ponddoor.web.server import HttpError, Reply, Request

_ANSWER_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.0, 1.5, 2.5, 5.0)
_LAG_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
# The type (counter or gauge), name, help text, label name (may be empty), and values by label value.
Sample = tuple[str, str, str, str, dict[str, float]]


class _Samples(Collector):
    def __init__(self, samples: Callable[[], Iterable[Sample]]) -> None:
        self._samples = samples

    def collect(self) -> Iterator[Metric]:
        for kind, name, help_text, label, values in self._samples():
            family_class = CounterMetricFamily if kind == "counter" else GaugeMetricFamily
            family = family_class(f"ponddoor_{name}", help_text, labels=[label] if label else [])
            for label_value, amount in values.items():
                family.add_metric([label_value] if label else [], amount)
            yield family


class Metrics:
    """Histograms that are updated at each observation, and samples that are read at each GET /metrics.

    `fleet` returns the body of GET /fleet."""

    def __init__(
        self, samples: Callable[[], Iterable[Sample]], fleet: Callable[[], dict[str, Any]] | None = None
    ) -> None:
        self.fleet = fleet
        self.registry = CollectorRegistry()
        self.registry.register(_Samples(samples))
        self._answers = Histogram(
            "ponddoor_answer_seconds",
            "Time from a request to its answer, by kind of answer.",
            ["kind"],
            buckets=_ANSWER_BUCKETS_S,
            registry=self.registry,
        )
        self._lag = Histogram(
            "ponddoor_loop_lag_seconds",
            "How late the event loop ran, sampled 20 times a second.",
            buckets=_LAG_BUCKETS_S,
            registry=self.registry,
        )

    def observe_answer(self, kind: str, seconds: float) -> None:
        self._answers.labels(kind).observe(seconds)

    def observe_loop_lag(self, seconds: float) -> None:
        self._lag.observe(seconds)

    async def handle(self, request: Request) -> Reply:
        if request.method == "GET" and request.path == ("fleet",) and self.fleet is not None:
            return Reply(200, self.fleet())
        if request.method != "GET" or request.path != ("metrics",):
            raise HttpError(404, "no-such-resource", "GET /metrics and GET /fleet are all there is")
        headers = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
        return Reply(200, generate_latest(self.registry), headers)
