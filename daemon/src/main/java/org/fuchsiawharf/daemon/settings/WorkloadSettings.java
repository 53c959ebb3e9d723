package org.fuchsiawharf.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.daemon.load.RequestTemplate;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * The settings of a load: the target instances and the request templates.
 *
 * <p>Immutable and thread-safe.
 *
 * @param targets the entry instances' addresses
 * @param ledger the address of any stand-in endpoint, each of which serves the ledger of the whole fleet
 * @param templates the request templates with their shares
 */
public record WorkloadSettings(List<HttpTarget> targets, HttpTarget ledger, List<RequestTemplate> templates) {
    private static final int MAX_SHARE = 1_000;

    /** Copies the lists. */
    public WorkloadSettings {
        targets = List.copyOf(targets);
        templates = List.copyOf(templates);
    }

    /**
     * Reads the settings.
     *
     * @param file the YAML file, not null
     * @return the settings, never null
     * @throws org.fuchsiawharf.core.error.WharfException if the file has errors; the message lists all of them
     */
    public static WorkloadSettings read(Path file) {
        return SettingsFile.read(file, WorkloadSettings::of);
    }

    private static WorkloadSettings of(SettingsNode root) {
        List<RequestTemplate> templates = new ArrayList<>();
        for (SettingsNode node : root.children("requests")) {
            RequestTemplate template = node.build(WorkloadSettings::toTemplate, null);
            node.reportUnknownKeys();
            if (template != null) {
                templates.add(template);
            }
        }
        return new WorkloadSettings(
                root.texts("targets").stream().map(HttpTarget::parse).toList(), root.address("ledger"), templates);
    }

    private static RequestTemplate toTemplate(SettingsNode node) {
        return new RequestTemplate(
                node.text("path", null),
                node.texts("workspaces"),
                (int) node.number("share", 1, MAX_SHARE, 1L),
                node.number("deadlineMillis", 1, 600_000, 4_000L),
                (int) node.number("tokens", 0, 100_000, 0L),
                node.flag("stream", false),
                node.flag("keyed", false),
                (int) node.number("dialogues", 0, 100_000, 0L));
    }
}
