package org.fuchsiawharf.relay.edge;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestLoadReport {
    @Test
    void readsThreeOrFourFigures() {
        assertThat(LoadReport.parse("3,0,8"), is(new LoadReport(3, 0, 8, 0)));
        assertThat(LoadReport.parse("3, 1, 8, 250"), is(new LoadReport(3, 1, 8, 2.5)));
        assertThat(LoadReport.parse("3,1,8,70,9,x"), is(new LoadReport(3, 1, 8, 0.7)));
    }

    // A malformed load field must not change where requests go.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "3,0",
                "3,0,",
                "-1,0,8",
                "3,-2,8",
                "3,0,8,-100",
                "3,0,8,0",
                "3,0,8,NaN",
                "3,0,8,1e99",
                "3,0,8,",
                "99999999999,0,8",
                "2000000,0,8",
                "x,y,z",
                "3;0;8;100"
            })
    void rejectsOddFigures(String value) {
        assertThat(LoadReport.parse(value), is(nullValue()));
        assertThat(LoadReport.parse(" ".repeat(5_000) + value), is(nullValue()));
    }
}
