"""OpenTelemetry spans, one for each hop of a request, written as JSON lines.

Hops are `caller` (the exchange with the caller), `entry` (routing), `dispatcher` (queue and slots),
`claim`, `target` and `controller`. The context travels as a W3C traceparent in `Envelope.trace`
and in the HTTP header of that name. Without the setting `trace_file` nothing is traced.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from opentelemetry import context as otel_context
from opentelemetry import trace as otel
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = [
    "FileExporter",
    "current_traceparent",
    "hop",
    "resume",
    "setup",
    "shutdown",
    "trace_reply",
    "use_remote_context",
]

EXPORT_INTERVAL_MS = 500
SPAN_ATTRIBUTES = ("request_id", "queue", "team")

_propagator = TraceContextTextMapPropagator()
_provider: TracerProvider | None = None
_tracer: otel.Tracer | None = None
# Context of the innermost open span of each task. A queued task is started by a timer or by another
# request, outside the context in which it arrived, so its context is looked up by task id.
_task_contexts: dict[str, otel_context.Context] = {}


class FileExporter(SpanExporter):
    """Appends each span as one JSON line; the file is for diagnosis and is never synced."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115 - closed in shutdown

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Writes a batch; on a full disk, spans are lost and the process continues."""
        try:
            self._file.writelines(json.dumps(_span_record(span)) + "\n" for span in spans)
            self._file.flush()
        except OSError:
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        self._file.close()


def setup(cfg: Any) -> None:
    """Starts tracing if the settings of this process name a trace file.

    Args:
        cfg: Settings with `name`, `data_centre`, `trace_file` and `trace_sample_rate`.
    """
    global _provider, _tracer
    if cfg.trace_file is None:
        return
    resource = Resource({"process": cfg.name, "data_centre": cfg.data_centre})
    sampler = ParentBased(TraceIdRatioBased(cfg.trace_sample_rate))
    _provider = TracerProvider(resource=resource, sampler=sampler, shutdown_on_exit=False)
    exporter = FileExporter(cfg.trace_file)
    _provider.add_span_processor(
        BatchSpanProcessor(exporter, schedule_delay_millis=EXPORT_INTERVAL_MS)
    )
    _tracer = _provider.get_tracer("geraniumtrack")


def shutdown() -> None:
    """Writes the spans that are still buffered and ends tracing."""
    global _provider, _tracer
    if _provider is not None:
        _provider.shutdown()
    _provider = _tracer = None
    _task_contexts.clear()


def current_traceparent() -> str:
    """Returns the traceparent of the current span, or an empty string."""
    if _tracer is None:
        return ""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get("traceparent", "")


@contextmanager
def use_remote_context(traceparent: str) -> Iterator[None]:
    """Makes the context of a received message the current one."""
    if _tracer is None or not traceparent:
        yield
        return
    token = otel_context.attach(_extract(traceparent))
    try:
        yield
    finally:
        otel_context.detach(token)


def hop(name: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Decorates a method that returns a Deferred: its span ends when the Deferred fires.

    The first argument is the Submit, the Task, the Placement, the HTTP request or the address that
    the hop is about. The parent is the innermost open span of the same task if there is one.
    Otherwise it is the span in the traceparent header for an HTTP request (without this header, a
    new trace starts), and the current span for anything else.
    """

    def decorate(function: Callable[..., Any]) -> Callable[..., Any]:
        @functools.wraps(function)
        def traced(self: Any, subject: Any, *args: Any, **kwargs: Any) -> Any:
            if _tracer is None:
                return function(self, subject, *args, **kwargs)
            return _run_span(
                name, subject, functools.partial(function, self, subject, *args, **kwargs)
            )

        return traced

    return decorate


def resume(function: Callable[..., Any]) -> Callable[..., Any]:
    """Decorates a method whose first argument is a Placement, a Task or a Submit.

    The method runs in the context of the innermost open span of that task.
    """

    @functools.wraps(function)
    def resumed(self: Any, subject: Any, *args: Any, **kwargs: Any) -> Any:
        ctx = _task_contexts.get(_task_id(subject))
        if ctx is None:
            return function(self, subject, *args, **kwargs)
        token = otel_context.attach(ctx)
        try:
            return function(self, subject, *args, **kwargs)
        finally:
            otel_context.detach(token)

    return resumed


def trace_reply(
    name: str, traceparent: str, body: Any, reply: Callable[[Any], None]
) -> Callable[[Any], None]:
    """Starts a span for a message that carries a context.

    Args:
        name: Name of the span.
        traceparent: Context of the message; empty if it has none.
        body: The message.
        reply: Replies to the message.

    Returns:
        A function that ends the span and replies; `reply` itself if nothing is traced.
    """
    if _tracer is None or not traceparent:
        return reply
    span = _tracer.start_span(name, context=_extract(traceparent))
    span.set_attribute("message", type(getattr(body, "command", body)).__name__)

    def reply_and_end(answer: Any) -> None:
        span.set_attribute("reply", type(answer).__name__)
        span.end()
        reply(answer)

    return reply_and_end


def _run_span(name: str, subject: Any, call: Callable[[], Any]) -> Any:
    submit = _submit(subject)
    task_id = _task_id(subject)
    previous = _task_contexts.get(task_id)
    span = _tracer.start_span(name, context=previous or _parent_of(subject))
    for key in SPAN_ATTRIBUTES:
        value = getattr(submit, key, None)
        if isinstance(value, str):
            span.set_attribute(key, value)
    if isinstance(subject, str):
        span.set_attribute("address", subject)
    ctx = otel.set_span_in_context(span)
    if task_id:
        _task_contexts[task_id] = ctx
    token = otel_context.attach(ctx)
    try:
        fut = call()
    finally:
        otel_context.detach(token)
    if hasattr(fut, "addBoth"):
        return fut.addBoth(_end, span, subject, previous)
    return _end(fut, span, subject, previous)


def _end(result: Any, span: otel.Span, subject: Any, previous: Any) -> Any:
    task_id = _task_id(subject)
    if task_id and previous is None:
        _task_contexts.pop(task_id, None)
    elif task_id:
        _task_contexts[task_id] = previous
    for key in ("status", "error", "reason", "run"):
        value = getattr(result, key, None)
        if isinstance(value, str | int) and value != "":
            span.set_attribute(key, value)
    if hasattr(subject, "getHeader"):  # the HTTP exchange with the caller
        span.set_attribute("status", subject.code)
    span.end()
    return result


def _submit(subject: Any) -> Any:
    return getattr(getattr(subject, "task", subject), "submit", subject)


def _task_id(subject: Any) -> str:
    return getattr(_submit(subject), "task_id", "")


def _parent_of(subject: Any) -> otel_context.Context | None:
    get_header = getattr(subject, "getHeader", None)
    if get_header is None:
        return None
    return _extract((get_header(b"traceparent") or b"").decode("latin-1"))


def _extract(traceparent: str) -> otel_context.Context:
    return _propagator.extract({"traceparent": traceparent}, context=otel_context.Context())


def _span_record(span: ReadableSpan) -> dict[str, Any]:
    ctx = span.get_span_context()
    return {
        "trace": f"{ctx.trace_id:032x}",
        "span": f"{ctx.span_id:016x}",
        "parent": f"{span.parent.span_id:016x}" if span.parent else "",
        "hop": span.name,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        **dict(span.resource.attributes),
        "attributes": dict(span.attributes or {}),
    }
