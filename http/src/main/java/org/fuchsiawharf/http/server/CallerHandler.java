package org.fuchsiawharf.http.server;

import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Takes callers' requests.
 *
 * <p>Reads the whole body, checks the form, and passes the request to the decisions, which answer through its
 * port. Thread-safe.
 */
final class CallerHandler implements HttpHandler {
    private final EventSink sink;
    private final Supplier<ServingConfig> config;
    private final RequestReader reader;
    private final ServerLimits limits;

    CallerHandler(EventSink sink, Supplier<ServingConfig> config, RequestReader reader, ServerLimits limits) {
        this.sink = sink;
        this.config = config;
        this.reader = reader;
        this.limits = limits;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrived = reader.now();
        ServingConfig inForce = config.get();
        Pipeline pipeline = findPipeline(exchange, inForce);
        if (pipeline == null) {
            return;
        }
        XnioExecutor.Key timeout = exchange.getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(exchange.getConnection()),
                        limits.bodyTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
            discard(exchange, timeout);
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(limits.maxBodyBytes());
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (read, body) -> {
                            timeout.remove();
                            accept(read, inForce, pipeline, arrived, body);
                        },
                        (read, error) -> {
                            timeout.remove();
                            refuseUnread(read, error);
                        });
    }

    // A caller that is still sending would see a broken connection in place of an early answer.
    private void discard(HttpServerExchange exchange, XnioExecutor.Key timeout) {
        exchange.getRequestReceiver()
                .receivePartialBytes(
                        (read, part, last) -> {
                            if (last) {
                                timeout.remove();
                                String detail = "the body is above " + limits.maxBodyBytes() + " bytes";
                                Problem.sendNotRun(read, ErrorCode.BODY_TOO_LARGE, detail);
                            }
                        },
                        (read, error) -> {
                            timeout.remove();
                            refuseUnread(read, error);
                        });
    }

    private void refuseUnread(HttpServerExchange exchange, java.io.IOException error) {
        ErrorCode code = error instanceof RequestTooBigException || error instanceof Receiver.RequestToLargeException
                ? ErrorCode.BODY_TOO_LARGE
                : ErrorCode.MALFORMED_BODY;
        Problem.sendNotRun(exchange, code, "the body can't be read: " + error.getMessage());
    }

    private @Nullable Pipeline findPipeline(HttpServerExchange exchange, ServingConfig inForce) {
        String pipeline = parameter(exchange, "pipeline");
        if (pipeline != null) {
            Pipeline found = inForce.getPipeline(pipeline);
            if (found == null) {
                Problem.sendNotRun(
                        exchange, ErrorCode.UNKNOWN_PIPELINE, "pipeline \"" + pipeline + "\" does not exist");
            }
            return found;
        }
        String service = String.valueOf(parameter(exchange, "service"));
        String call = String.valueOf(parameter(exchange, "call"));
        Pipeline found = inForce.getServiceCall(service, call);
        if (found == null) {
            Problem.sendNotRun(
                    exchange,
                    ErrorCode.UNKNOWN_SERVICE,
                    "call \"" + call + "\" of service \"" + service + "\" does not exist");
        }
        return found;
    }

    private static @Nullable String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }

    private void accept(
            HttpServerExchange exchange, ServingConfig inForce, Pipeline pipeline, long arrived, byte[] body) {
        CallerRequest request;
        try {
            request = reader.read(exchange, inForce, pipeline, arrived, body);
        } catch (WharfException e) {
            Problem.sendNotRun(exchange, e.getCode(), String.valueOf(e.getMessage()));
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> publish(exchange, request));
    }

    private void publish(HttpServerExchange exchange, CallerRequest request) {
        CallerPort[] port = new CallerPort[1];
        Runnable onLeft = () -> sink.publish(new Event.CallerLeft(port[0]));
        CloseWatch watch = CloseWatch.start(exchange, onLeft);
        String accept = exchange.getRequestHeaders().getFirst(Headers.ACCEPT);
        boolean streams = accept != null && accept.contains(WireHeaders.EVENT_STREAM);
        port[0] = streams
                ? new StreamCaller(exchange, watch, limits.maxUnsentBytes(), onLeft)
                : new JsonCaller(exchange, watch);
        sink.publish(new Event.RequestArrived(request, port[0]));
    }
}
