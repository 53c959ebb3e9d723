package org.fuchsiawharf.relay;

import java.net.Socket;

import org.fuchsiawharf.core.route.CallerLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.fuchsiawharf.relay.ScriptedEndpoint.event;
import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.response;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Responds to requests of which the endpoint has read only the head. */
class TestEarlyResponses {
    /** More than the buffers of a connection hold whose receiver does not read. */
    private static final int UPLOAD_BYTES = 8 << 20;

    private static final String STREAM = "Content-Type: text/event-stream\r\n\r\n" + event(1);

    private ScriptedEndpoint endpoint;
    private RelayFixture relay;

    /** Ends the connection of a response. */
    private interface Ending {
        void end(Socket socket) throws Exception;
    }

    @BeforeEach
    void start() throws Exception {
        endpoint = new ScriptedEndpoint().then((request, socket) -> write(socket, response(request, 200, "fine")));
        relay = new RelayFixture(endpoint);
        relay.setLimits(new CallerLimits(8_192, UPLOAD_BYTES, 2_000, 5_000));
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        endpoint.close();
    }

    private RawMessage upload(String path, String fieldsAndBody, Ending ending) throws Exception {
        endpoint.early((request, socket) -> {
            write(socket, head(request, 200) + fieldsAndBody);
            ending.end(socket);
        });
        return relay.exchange(RelayFixture.request("POST", path, "r1", "", "x".repeat(UPLOAD_BYTES)));
    }

    // -----------------------------------------------------------------------

    // A part of the response was passed on as a whole one with a length.
    @Test
    void responseThatEndsBeforeRequestIsWrittenIsNotForwarded() throws Exception {
        assertThat(upload("/post/", "\r\npart", Socket::close).status(), is(502));
        assertThat(upload("/post/", "\r\npart", Socket::shutdownOutput).status(), is(502));
    }

    @Test
    void repeatableRequestIsSentAgainAfterResponseThatEndsBeforeItIsWritten() throws Exception {
        assertThat(upload("/get/", "\r\npart", Socket::shutdownOutput).body(), is("fine"));
    }

    // The caller got the regular end of a stream whose endpoint had not read the request.
    @Test
    void streamThatEndsBeforeRequestIsWrittenIsCut() throws Exception {
        assertThat(upload("/verdict/", STREAM, Socket::shutdownOutput).body(), is(event(1) + "<cut>"));
    }

    @Test
    void earlyResponseWithLengthIsForwarded() throws Exception {
        assertThat(
                upload("/post/", "Content-Length: 4\r\n\r\nfine", socket -> {}).body(), is("fine"));
    }
}
