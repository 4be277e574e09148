package org.alderyard.control.failover;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.alderyard.common.error.AlderyardException;
import org.alderyard.common.error.ErrorCode;
import org.alderyard.common.id.GroupId;
import org.alderyard.common.id.Position;
import org.alderyard.common.id.ServerId;
import org.alderyard.protocol.generated.failover.ChooseStep;
import org.alderyard.protocol.generated.failover.FailoverRecordEntry;
import org.alderyard.protocol.generated.failover.FailoverStepEntry;
import org.alderyard.protocol.generated.failover.GrantStep;
import org.alderyard.protocol.generated.failover.Kind;
import org.alderyard.protocol.generated.failover.Phase;
import org.alderyard.protocol.generated.failover.PublishStep;

/** Converts failover steps and records to and from their protocol messages. */
final class StepCodec {

  private StepCodec() {}

  static ByteString encode(GroupId group, FailoverStep step) {
    FailoverStepEntry.Builder entry = FailoverStepEntry.newBuilder().setGroup(group.value());
    if (step instanceof FailoverStep.Grant grant) {
      entry
          .setProposedAtMillis(grant.grantedAtMillis())
          .setGrant(
              GrantStep.newBuilder()
                  .setExpectedTerm(grant.expectedTerm())
                  .setTerm(grant.term())
                  .setKind(Kind.valueOf(grant.kind().name()))
                  .addAllMembers(grant.members().stream().map(ServerId::value).toList()));
    } else if (step instanceof FailoverStep.Choose choose) {
      entry.setChoose(
          ChooseStep.newBuilder()
              .setTerm(choose.term())
              .setServer(choose.candidate().server().value())
              .setStartIndex(choose.candidate().lastPosition().index())
              .setStartTerm(choose.candidate().lastPosition().term()));
    } else {
      entry.setPublish(PublishStep.newBuilder().setTerm(step.term()));
    }
    return entry.build().toByteString();
  }

  static FailoverStepEntry parse(ByteString bytes) {
    try {
      return FailoverStepEntry.parseFrom(bytes);
    } catch (InvalidProtocolBufferException malformed) {
      throw AlderyardException.notRun(
          ErrorCode.STORAGE_DAMAGED, "failed to parse a failover step in the control log");
    }
  }

  static FailoverStep step(FailoverStepEntry entry) {
    return switch (entry.getStepCase()) {
      case GRANT ->
          new FailoverStep.Grant(
              entry.getGrant().getExpectedTerm(),
              entry.getGrant().getTerm(),
              FailoverKind.valueOf(entry.getGrant().getKind().name()),
              toServerIds(entry.getGrant().getMembersList()),
              entry.getProposedAtMillis());
      case CHOOSE ->
          new FailoverStep.Choose(
              entry.getChoose().getTerm(),
              new Candidate(
                  new ServerId(entry.getChoose().getServer()),
                  new Position(
                      entry.getChoose().getStartTerm(), entry.getChoose().getStartIndex())));
      case PUBLISH -> new FailoverStep.Publish(entry.getPublish().getTerm());
      case STEP_NOT_SET ->
          throw AlderyardException.notRun(
              ErrorCode.STORAGE_DAMAGED, "a failover step in the control log has an unknown type");
    };
  }

  static FailoverRecordEntry message(FailoverRecord record) {
    FailoverRecordEntry.Builder entry =
        FailoverRecordEntry.newBuilder()
            .setGroup(record.group().value())
            .setTerm(record.term())
            .setPhase(Phase.valueOf(record.phase().name()))
            .setKind(Kind.valueOf(record.kind().name()))
            .addAllMembers(record.members().stream().map(ServerId::value).toList())
            .addAllGrantedAtMillis(record.grantedAtMillis());
    record.previousPrimary().ifPresent(server -> entry.setPreviousPrimary(server.value()));
    record
        .candidate()
        .ifPresent(
            candidate ->
                entry
                    .setChosen(candidate.server().value())
                    .setStartIndex(candidate.lastPosition().index())
                    .setStartTerm(candidate.lastPosition().term()));
    return entry.build();
  }

  static FailoverRecord record(FailoverRecordEntry entry) {
    return new FailoverRecord(
        new GroupId(entry.getGroup()),
        entry.getTerm(),
        FailoverPhase.valueOf(entry.getPhase().name()),
        FailoverKind.valueOf(entry.getKind().name()),
        toServerIds(entry.getMembersList()),
        toServerId(entry.getPreviousPrimary()),
        toServerId(entry.getChosen())
            .map(
                serverId ->
                    new Candidate(
                        serverId, new Position(entry.getStartTerm(), entry.getStartIndex()))),
        entry.getGrantedAtMillisList());
  }

  private static Optional<ServerId> toServerId(String name) {
    return name.isEmpty() ? Optional.empty() : Optional.of(new ServerId(name));
  }

  private static List<ServerId> toServerIds(List<String> names) {
    return names.stream().map(ServerId::new).toList();
  }
}
