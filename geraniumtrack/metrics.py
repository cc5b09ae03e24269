"""Counters, gauges and HdrHistogram latencies of one process, rendered as text."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "metrics"]

# A histogram takes about 20 KB; the processes of geraniumtrack on a machine may use 256 MB.
MAX_SERIES = 400
RESOLUTION_S = 1e-4  # of latencies
MAX_LATENCY_S = 3600.0
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 90, 99, 99.9)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters, gauges and latencies by name and labels.

    Each of these kinds is limited to `MAX_SERIES`, so that label values from callers cannot exhaust
    memory. Beyond the limit, a label set is recorded with `other` as every value.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], int] = {}
        self._gauges: dict[tuple[str, Labels], float] = {}
        self._latencies: dict[tuple[str, Labels], HdrHistogram] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        key = _key(self._counters, name, labels)
        self._counters[key] = self._counters.get(key, 0) + amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Sets the current value of a gauge."""
        self._gauges[_key(self._gauges, name, labels)] = value

    def remove_gauges(self, *names: str) -> None:
        """Removes all gauges with these names."""
        self._gauges = {key: value for key, value in self._gauges.items() if key[0] not in names}

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a latency in seconds."""
        key = _key(self._latencies, name, labels)
        histogram = self._latencies.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, int(MAX_LATENCY_S / RESOLUTION_S), SIGNIFICANT_DIGITS)
            self._latencies[key] = histogram
        histogram.record_value(
            max(1, min(round(seconds / RESOLUTION_S), int(MAX_LATENCY_S / RESOLUTION_S)))
        )

    def render(self) -> str:
        """Returns all values as text, one per line."""
        lines = [
            f"{name}_total{_labels(labels)} {value}"
            for (name, labels), value in sorted(self._counters.items())
        ]
        lines += [
            f"{name}{_labels(labels)} {value:.6g}"
            for (name, labels), value in sorted(self._gauges.items())
        ]
        for (name, labels), histogram in sorted(self._latencies.items(), key=lambda item: item[0]):
            lines.append(f"{name}_seconds_count{_labels(labels)} {histogram.get_total_count()}")
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) * RESOLUTION_S
                quantile_labels = (*labels, ("quantile", f"{percentile / 100:g}"))
                lines.append(f"{name}_seconds{_labels(quantile_labels)} {value:.4f}")
        return "\n".join(lines) + "\n"


metrics = Metrics()


def _key(series: dict, name: str, labels: dict[str, str]) -> tuple[str, Labels]:
    key = (name, tuple(sorted(labels.items())))
    if key in series or len(series) < MAX_SERIES:
        return key
    return (name, tuple((label, "other") for label in sorted(labels)))


def _labels(labels: Labels) -> str:
    inner = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return f"{{{inner}}}" if inner else ""


def _escape(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


if __name__ == "__main__":
    example = Metrics()
    example.count("requests", queue="proofs", outcome="ran", team="acme")
    example.set_gauge("duration_ratio", 1.25, queue="proofs")
    example.observe("request", 0.0123, queue="proofs", outcome="ran", team="acme")
    print(example.render())
