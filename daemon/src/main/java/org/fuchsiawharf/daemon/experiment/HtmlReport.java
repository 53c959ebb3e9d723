package org.fuchsiawharf.daemon.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Formats the results of an experiment as a self-contained HTML page with plots.
 *
 * <p>Stateless and thread-safe.
 */
public final class HtmlReport {
    private static final int WIDTH = 720;
    private static final int HEIGHT = 180;
    private static final String[] COLOURS = {"#a3195b", "#8a8a8a"};

    private HtmlReport() {}

    /**
     * Formats a page.
     *
     * @param title the title of the page, not null
     * @param results the runs to compare, not null
     * @return the HTML, never null
     */
    public static String of(String title, List<ExperimentResult> results) {
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>");
        html.append(escape(title)).append("</title><style>body{font:14px sans-serif;margin:2em;max-width:60em}");
        html.append("table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2em .6em;text-align:right}");
        html.append("td:first-child,th:first-child{text-align:left}</style><h1>");
        html.append(escape(title)).append("</h1><p>");
        for (int i = 0; i < results.size(); i++) {
            html.append("<span style=\"color:")
                    .append(COLOURS[i % COLOURS.length])
                    .append("\">&#9632; ");
            html.append(escape(results.get(i).policies())).append("</span> ");
        }
        html.append("</p>");
        addSummary(html, results);
        addPlot(html, "Attainment by second", results, s -> s.offered() == 0 ? 1 : (double) s.attained() / s.offered());
        addPlot(html, "Requests attained a second", results, ExperimentResult.Second::attained);
        addPlot(html, "Requests refused as not run, a second", results, ExperimentResult.Second::refused);
        addPlot(html, "95th percentile of latency, ms", results, ExperimentResult.Second::p95Millis);
        addStages(html, results);
        addCounts(html, "Outcomes and refusals by reason", results, true);
        addCounts(html, "What the instances counted", results, false);
        return html.append("</html>\n").toString();
    }

    private static void addSummary(StringBuilder html, List<ExperimentResult> results) {
        html.append("<table><tr><th>run</th><th>attainment</th><th>judged attainment</th><th>goodput of capacity</th>");
        html.append("<th>wasted share</th><th>late share</th><th>lost</th><th>doubled</th><th>crossed</th>");
        html.append("<th>false not-run</th><th>cut</th><th>recovery ms</th></tr>");
        for (ExperimentResult result : results) {
            html.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%s</td><td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%.4f</td><td>%d</td>"
                            + "<td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td></tr>",
                    escape(result.policies()),
                    result.summary().attainment(),
                    result.judgedAttainment(),
                    result.goodputOfCapacity(),
                    result.wastedShare(),
                    result.summary().lateShare(),
                    result.summary().lost(),
                    result.summary().doubled(),
                    result.summary().crossed(),
                    result.summary().falseNotRun(),
                    result.summary().cut(),
                    result.recoveryMillis()));
        }
        html.append("</table>");
    }

    private static void addPlot(
            StringBuilder html,
            String title,
            List<ExperimentResult> results,
            ToDoubleFunction<ExperimentResult.Second> value) {
        double max = 0;
        int seconds = 1;
        for (ExperimentResult result : results) {
            seconds = Math.max(seconds, result.seconds().size());
            for (ExperimentResult.Second second : result.seconds()) {
                max = Math.max(max, value.applyAsDouble(second));
            }
        }
        html.append(String.format(
                Locale.ROOT,
                "<h2>%s</h2><p>0 to %.2f, over %d s</p><svg width=\"%d\" height=\"%d\" style=\"border:1px solid #ccc\">",
                escape(title),
                max,
                seconds,
                WIDTH,
                HEIGHT));
        for (int i = 0; i < results.size(); i++) {
            html.append("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"");
            html.append(COLOURS[i % COLOURS.length]).append("\" points=\"");
            List<ExperimentResult.Second> series = results.get(i).seconds();
            for (int s = 0; s < series.size(); s++) {
                double x = seconds == 1 ? 0 : (double) s * WIDTH / (seconds - 1);
                double share = max == 0 ? 0 : value.applyAsDouble(series.get(s)) / max;
                html.append(String.format(Locale.ROOT, "%.1f,%.1f ", x, HEIGHT - 4 - share * (HEIGHT - 8)));
            }
            html.append("\"/>");
        }
        html.append("</svg>");
    }

    private static void addStages(StringBuilder html, List<ExperimentResult> results) {
        html.append("<h2>Stages at their endpoints</h2><table><tr><th>run, stage</th><th>p50 ms</th><th>p99 ms</th>");
        html.append("<th>work done over needed</th></tr>");
        for (ExperimentResult result : results) {
            for (ExperimentResult.Stage stage : result.stages()) {
                html.append(String.format(
                        Locale.ROOT,
                        "<tr><td>%s, %s</td><td>%.1f</td><td>%.1f</td><td>%.3f</td></tr>",
                        escape(result.policies()),
                        escape(stage.stage()),
                        stage.p50Millis(),
                        stage.p99Millis(),
                        stage.costRatio()));
            }
        }
        html.append("</table>");
    }

    private static void addCounts(
            StringBuilder html, String title, List<ExperimentResult> results, boolean showOutcomes) {
        html.append("<h2>").append(escape(title)).append("</h2><table><tr><th>run, name</th><th>count</th></tr>");
        for (ExperimentResult result : results) {
            Map<String, ? extends Number> counts =
                    showOutcomes ? result.summary().outcomes() : result.counters();
            counts.forEach((name, count) -> html.append("<tr><td>")
                    .append(escape(result.policies() + ", " + name))
                    .append("</td><td>")
                    .append(count)
                    .append("</td></tr>"));
        }
        html.append("</table>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
