package org.fuchsiawharf.relay;

import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class TestEndpointNoticeReader {
    private final List<String> notices = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final EndpointNoticeReader reader =
            new EndpointNoticeReader(FieldNames.DEFAULT, Runnable::run, (event, fields) -> events.add(event));

    TestEndpointNoticeReader() {
        reader.setListener(new EndpointNoticeReader.Listener() {
            @Override
            public void onLeaving(String endpoint) {
                notices.add(endpoint + " leaves");
            }

            @Override
            public void onPauseRequested(String endpoint, long nanos) {
                notices.add(endpoint + " pauses for " + nanos / 1_000_000);
            }

            @Override
            public void onRequestLimit(String endpoint, double perSecond, long sentNanos) {
                notices.add(endpoint + " accepts " + perSecond);
            }

            @Override
            public void onCold(String endpoint, long untilNanos) {
                notices.add(endpoint + " is cold");
            }

            @Override
            public void onBrittle(String endpoint, double maxRejections, long sentNanos) {
                notices.add(endpoint + " can reject " + maxRejections);
            }
        });
    }

    private void read(int status, String... fields) {
        HttpHeaders headers = new DefaultHttpHeaders();
        for (int i = 0; i < fields.length; i += 2) {
            headers.set(fields[i], fields[i + 1]);
        }
        reader.onHead("e", status, headers, 0);
    }

    @Test
    void readsThatEndpointLeavesFromAnyResponse() {
        read(200, "Wharf-Leaving", "1");
        read(500, "Wharf-Leaving", "1");
        read(200, "Wharf-Leaving", "0");
        assertThat(notices, contains("e leaves", "e leaves"));
    }

    // Guards against an endpoint that is sent the usual load because its statement that it is cold is ignored.
    @Test
    void readsColdTimeAndLogsMalformedOnes() {
        read(200, "wharf-cold-ms", "1200");
        read(200, "wharf-cold-ms", "0");
        read(200, "wharf-cold-ms", "-5");
        read(200, "wharf-cold-ms", "soon");
        assertThat(notices, contains("e is cold"));
        assertThat(events, contains("endpoint.cold_malformed", "endpoint.cold_malformed"));
    }

    @Test
    void readsPauseFromRefusalOnly() {
        read(503, "Retry-After", "1.5");
        read(200, "Retry-After", "9");
        read(429, "Retry-After", "9");
        read(503, "Retry-After", "0");
        assertThat(notices, contains("e pauses for 1500"));
        assertThat(events, is(empty()));
    }

    @Test
    void ignoresMalformedAndBoundsLongPause() {
        for (String value : List.of("soon", "", "-3", "NaN", "Infinity")) {
            read(503, "Retry-After", value);
        }
        assertThat(notices, is(empty()));
        assertThat(events.size(), is(5));
        read(503, "Retry-After", "1e9");
        assertThat(notices, contains("e pauses for 600000"));
    }

    @Test
    void readsLimitAndItsEnd() {
        read(200);
        read(200, "Wharf-Request-Limit", "4.5");
        read(200);
        read(200, "Wharf-Request-Limit", "none");
        assertThat(notices, contains("e accepts 4.5", "e accepts 0.0"));
        assertThat(events, contains("endpoint.limit_malformed"));
    }

    @Test
    void readsThatEndpointIsBrittleAndItsEnd() {
        read(200);
        read(503, "Wharf-Max-Rejections", "4");
        read(200, "Wharf-Max-Rejections", "0");
        read(200);
        read(200);
        assertThat(notices, contains("e can reject 4.0", "e can reject 0.0", "e can reject -1.0"));
    }

    @Test
    void ignoresMalformedMaximumOfRejections() {
        for (String value : List.of("", "some", "-1", "NaN")) {
            read(200, "Wharf-Max-Rejections", value);
        }
        assertThat(notices, is(empty()));
        assertThat(events.size(), is(4));
        assertThat(events.get(0), is("endpoint.brittle_malformed"));
    }
}
