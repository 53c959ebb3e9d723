package org.fuchsiawharf.peer;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.quarantine.CrashEvidence;
import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.peer.generated.PeerProto;

/**
 * Encodes observations about crashed endpoints as protobuf messages and decodes them.
 *
 * <p>Stateless and thread-safe.
 */
final class EvidenceCodec {
    private EvidenceCodec() {}

    static PeerProto.ShareEvidence.Builder encode(CrashEvidence evidence) {
        PeerProto.ShareEvidence.Builder builder =
                PeerProto.ShareEvidence.newBuilder().addAllEndedEndpoints(evidence.endedEndpoints());
        evidence.losses().forEach(loss -> addLoss(builder, loss));
        evidence.sound().forEach(suspect -> {
            if (isPart(suspect)) {
                builder.addSoundParts(suspect.id());
            } else {
                builder.addSoundRequests(suspect.id());
            }
        });
        evidence.trials().forEach(trial -> builder.addTrials(encode(trial)));
        return builder;
    }

    private static void addLoss(PeerProto.ShareEvidence.Builder builder, CrashEvidence.Loss loss) {
        if (isPart(loss.suspect())) {
            builder.addLosses(PeerProto.LostPart.newBuilder()
                    .setPart(loss.suspect().id())
                    .setEndpoint(loss.endpoint())
                    .setPrompt(loss.prompt())
                    .setAgeMillis(loss.ageMillis()));
        } else {
            builder.addLostRequests(PeerProto.LostRequest.newBuilder()
                    .setFingerprint(loss.suspect().id())
                    .setEndpoint(loss.endpoint())
                    .setAgeMillis(loss.ageMillis()));
        }
    }

    private static PeerProto.Trial.Builder encode(CrashEvidence.Trial trial) {
        PeerProto.Trial.Builder builder =
                PeerProto.Trial.newBuilder().setCount(trial.count()).setAgeMillis(trial.ageMillis());
        return isPart(trial.suspect())
                ? builder.setPart(trial.suspect().id())
                : builder.setRequest(trial.suspect().id());
    }

    private static boolean isPart(Suspect suspect) {
        return suspect.kind() == Suspect.Kind.PROMPT_PART;
    }

    static PeerMessage decode(PeerProto.ShareEvidence message) {
        List<CrashEvidence.Loss> losses = new ArrayList<>();
        message.getLossesList()
                .forEach(loss -> losses.add(new CrashEvidence.Loss(
                        Suspect.ofPart(loss.getPart()),
                        loss.getEndpoint(),
                        loss.getPrompt(),
                        Math.max(0, loss.getAgeMillis()))));
        message.getLostRequestsList()
                .forEach(loss -> losses.add(new CrashEvidence.Loss(
                        Suspect.ofRequest(loss.getFingerprint()),
                        loss.getEndpoint(),
                        0,
                        Math.max(0, loss.getAgeMillis()))));
        Set<Suspect> sound = new HashSet<>();
        message.getSoundPartsList().forEach(part -> sound.add(Suspect.ofPart(part)));
        message.getSoundRequestsList().forEach(request -> sound.add(Suspect.ofRequest(request)));
        List<CrashEvidence.Trial> trials = message.getTrialsList().stream()
                .map(trial -> new CrashEvidence.Trial(
                        trial.hasPart() ? Suspect.ofPart(trial.getPart()) : Suspect.ofRequest(trial.getRequest()),
                        trial.getCount(),
                        Math.max(0, trial.getAgeMillis())))
                .toList();
        return new PeerMessage.ShareEvidence(
                new CrashEvidence(Set.copyOf(message.getEndedEndpointsList()), losses, sound, trials));
    }
}
