package org.alderyard.control.service;

import java.util.concurrent.CompletableFuture;
import org.alderyard.control.log.ControlLog;
import org.alderyard.control.state.ConfigurationValidator;
import org.alderyard.control.state.ControlState;
import org.alderyard.protocol.generated.control.Command;
import org.alderyard.protocol.generated.control.FetchConfigurationReply;
import org.alderyard.protocol.generated.control.FetchConfigurationRequest;
import org.alderyard.protocol.generated.control.ReplaceConfigurationReply;
import org.alderyard.protocol.generated.control.ReplaceConfigurationRequest;
import org.alderyard.protocol.view.StateCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Proposes session configurations to the control log and returns the current one. */
final class ConfigurationService {
  private static final Logger log = LoggerFactory.getLogger(ConfigurationService.class);

  private final ControlLog controlLog;
  private final ControlState state;
  private final Proposer proposer;

  ConfigurationService(ControlLog controlLog, ControlState state, Proposer proposer) {
    this.controlLog = controlLog;
    this.state = state;
    this.proposer = proposer;
  }

  CompletableFuture<ReplaceConfigurationReply> replace(ReplaceConfigurationRequest request) {
    ConfigurationValidator.check(request.getConfiguration());
    return proposer
        .propose(
            Command.newBuilder().setReplaceConfiguration(request.getConfiguration()),
            ReplaceConfigurationReply.parser())
        .thenApply(
            reply -> {
              log.info(
                  "event=configuration number={} in-force={} conflict={}",
                  request.getConfiguration().getNumber(),
                  reply.getNumber(),
                  reply.getConflict());
              return reply;
            });
  }

  /**
   * Returns the current configuration from a state that a quorum has confirmed; fails without a
   * quorum.
   */
  CompletableFuture<FetchConfigurationReply> fetch(FetchConfigurationRequest request) {
    return controlLog.readBarrier().thenApply(confirmed -> currentConfiguration());
  }

  private FetchConfigurationReply currentConfiguration() {
    FetchConfigurationReply.Builder reply = FetchConfigurationReply.newBuilder();
    state
        .view()
        .configuration()
        .map(StateCodec::configurationMessage)
        .ifPresent(reply::setConfiguration);
    return reply.build();
  }
}
