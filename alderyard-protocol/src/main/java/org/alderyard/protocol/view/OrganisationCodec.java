package org.alderyard.protocol.view;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.alderyard.common.view.Bytes;
import org.alderyard.common.view.OrganisationQuota;
import org.alderyard.common.view.OrganisationState;
import org.alderyard.common.view.Organisations;
import org.alderyard.protocol.generated.state.Configuration;
import org.alderyard.protocol.generated.state.Organisation;

/** Converts the organisations of a configuration between their messages and their domain type. */
final class OrganisationCodec {

  private OrganisationCodec() {}

  /** Adds the organisations to the message of their configuration. */
  static void encode(Organisations organisations, Configuration.Builder message) {
    message.setRequiresKeys(organisations.requiresKeys());
    organisations.all().forEach(organisation -> message.addOrganisations(message(organisation)));
  }

  private static Organisation message(OrganisationState organisation) {
    Organisation.Builder message =
        Organisation.newBuilder().setName(organisation.name()).setPriority(organisation.priority());
    organisation
        .keyDigests()
        .forEach(digest -> message.addKeyDigests(ByteString.copyFrom(digest.toArray())));
    organisation
        .quota()
        .ifPresent(
            quota ->
                message
                    .getQuotaBuilder()
                    .setRatePerSecond(quota.ratePerSecond())
                    .setBurst(quota.burst()));
    return message.build();
  }

  /** Returns the organisations of a configuration. */
  static Organisations decode(Configuration message) {
    return message.getRequiresKeys()
        ? Organisations.of(
            message.getOrganisationsList().stream().map(OrganisationCodec::organisation).toList())
        : Organisations.NONE;
  }

  private static OrganisationState organisation(Organisation message) {
    Optional<OrganisationQuota> quota =
        message.hasQuota()
            ? Optional.of(
                new OrganisationQuota(
                    message.getQuota().getRatePerSecond(), message.getQuota().getBurst()))
            : Optional.empty();
    return new OrganisationState(
        message.getName(),
        message.getKeyDigestsList().stream().map(digest -> Bytes.of(digest.toByteArray())).toList(),
        message.getPriority(),
        quota);
  }
}
