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
 * Handles the requests of callers.
 *
 * <p>Reads the complete body, validates the request, and publishes it to the decision loop, which responds through
 * the request's {@link CallerPort}. Thread-safe.
 */
final class CallerHandler implements HttpHandler {
    private final EventSink sink;
    private final Supplier<ServingConfig> config;
    private final RequestReader requestReader;
    private final ServerLimits limits;

    CallerHandler(EventSink sink, Supplier<ServingConfig> config, RequestReader requestReader, ServerLimits limits) {
        this.sink = sink;
        this.config = config;
        this.requestReader = requestReader;
        this.limits = limits;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long arrivalNanos = requestReader.nanoTime();
        ServingConfig activeConfig = config.get();
        Pipeline pipeline = findPipeline(exchange, activeConfig);
        if (pipeline == null) {
            return;
        }
        XnioExecutor.Key timeout = exchange.getIoThread()
                .executeAfter(
                        () -> IoUtils.safeClose(exchange.getConnection()),
                        limits.bodyTimeoutMillis(),
                        TimeUnit.MILLISECONDS);
        if (exchange.getRequestContentLength() > limits.maxBodyBytes()) {
            discardBody(exchange, timeout);
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(limits.maxBodyBytes());
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (callbackExchange, body) -> {
                            timeout.remove();
                            handleBody(callbackExchange, activeConfig, pipeline, arrivalNanos, body);
                        },
                        (callbackExchange, error) -> {
                            timeout.remove();
                            rejectUnreadableBody(callbackExchange, error);
                        });
    }

    // A caller that is still sending would see a closed connection in place of an early response.
    private void discardBody(HttpServerExchange exchange, XnioExecutor.Key timeout) {
        exchange.getRequestReceiver()
                .receivePartialBytes(
                        (callbackExchange, part, last) -> {
                            if (last) {
                                timeout.remove();
                                String detail = "the body is above " + limits.maxBodyBytes() + " bytes";
                                Problem.sendNotRun(callbackExchange, ErrorCode.BODY_TOO_LARGE, detail);
                            }
                        },
                        (callbackExchange, error) -> {
                            timeout.remove();
                            rejectUnreadableBody(callbackExchange, error);
                        });
    }

    private void rejectUnreadableBody(HttpServerExchange exchange, java.io.IOException error) {
        ErrorCode code = error instanceof RequestTooBigException || error instanceof Receiver.RequestToLargeException
                ? ErrorCode.BODY_TOO_LARGE
                : ErrorCode.MALFORMED_BODY;
        Problem.sendNotRun(exchange, code, "the body can't be read: " + error.getMessage());
    }

    private @Nullable Pipeline findPipeline(HttpServerExchange exchange, ServingConfig activeConfig) {
        String pipeline = queryParameter(exchange, "pipeline");
        if (pipeline != null) {
            Pipeline found = activeConfig.getPipeline(pipeline);
            if (found == null) {
                Problem.sendNotRun(
                        exchange, ErrorCode.UNKNOWN_PIPELINE, "pipeline \"" + pipeline + "\" does not exist");
            }
            return found;
        }
        String service = String.valueOf(queryParameter(exchange, "service"));
        String call = String.valueOf(queryParameter(exchange, "call"));
        Pipeline found = activeConfig.getServiceCall(service, call);
        if (found == null) {
            Problem.sendNotRun(
                    exchange,
                    ErrorCode.UNKNOWN_SERVICE,
                    "call \"" + call + "\" of service \"" + service + "\" does not exist");
        }
        return found;
    }

    private static @Nullable String queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? null : values.peekFirst();
    }

    private void handleBody(
            HttpServerExchange exchange,
            ServingConfig activeConfig,
            Pipeline pipeline,
            long arrivalNanos,
            byte[] body) {
        CallerRequest request;
        try {
            request = requestReader.read(exchange, activeConfig, pipeline, arrivalNanos, body);
        } catch (WharfException e) {
            Problem.sendNotRun(exchange, e.getCode(), String.valueOf(e.getMessage()));
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> publish(exchange, request));
    }

    private void publish(HttpServerExchange exchange, CallerRequest request) {
        CallerPort[] port = new CallerPort[1];
        Runnable onDisconnect = () -> sink.publish(new Event.CallerLeft(port[0]));
        DisconnectDetector disconnectDetector = DisconnectDetector.start(exchange, onDisconnect);
        String accept = exchange.getRequestHeaders().getFirst(Headers.ACCEPT);
        boolean acceptsEventStream = accept != null && accept.contains(WireHeaders.EVENT_STREAM);
        port[0] = acceptsEventStream
                ? new EventStreamCallerPort(exchange, disconnectDetector, limits.maxUnsentBytes(), onDisconnect)
                : new JsonCallerPort(exchange, disconnectDetector);
        sink.publish(new Event.RequestArrived(request, port[0]));
    }
}
