import { assertNever } from "@heatherferry/common";
import type { Effect } from "@heatherferry/core";
import {
  DaemonEffects,
  type AttemptRunner,
  type CallerServer,
  type DaemonParts,
  type RoleEffect,
  type ForwardRunner,
  type PeerRunner,
} from "@heatherferry/runners";

/** Issues tickets to callers. */
export abstract class TicketIssuer {
  /** @param effect - Tickets to sign and send. */
  abstract issue(effect: Extract<Effect, { type: "tickets/issue" }>): void;
}

/** Components that execute the effects of an entry host. */
export interface EntryParts extends DaemonParts {
  readonly attempts: AttemptRunner;
  readonly callers: CallerServer;
  readonly peers: PeerRunner;
  readonly forwards: ForwardRunner;
  readonly tickets: TicketIssuer;
}

/** Dispatches each effect of an entry host to the component that executes it. */
export class EntryEffects extends DaemonEffects {
  constructor(private readonly parts: EntryParts) {
    super(parts);
  }

  protected override runRoleEffect(effect: RoleEffect): void {
    const { attempts, callers, peers, forwards, tickets } = this.parts;
    switch (effect.type) {
      case "attempt/dispatch":
        attempts.dispatch(effect);
        return;
      case "attempt/abort":
        attempts.abort(effect);
        return;
      case "caller/relay":
        void attempts.relay(effect);
        return;
      case "caller/refuse":
        callers.refuse(effect.requestId, effect.refusal);
        return;
      case "caller/breakOff":
        callers.abortResponse(effect.requestId);
        return;
      case "caller/replayKept":
        void attempts.replay(effect);
        return;
      case "caller/forgetKept":
        attempts.removeStored(effect);
        return;
      case "tickets/issue":
        tickets.issue(effect);
        return;
      case "peer/forwardRequest":
        void forwards.forward(effect);
        return;
      case "peer/send":
        void peers.send(effect);
        return;
      case "peer/readView":
        void peers.readView(effect);
        return;
      case "peer/answerView":
        peers.answerView(effect);
        return;
      case "hosts/list":
      case "host/reboot":
        this.reportUnsupported(effect);
        return;
      default:
        assertNever(effect);
    }
  }
}
