import { assertNever } from "@heatherferry/common";
import {
  DaemonEffects,
  type AttemptRunner,
  type CallerServer,
  type DaemonParts,
  type OwnEffect,
  type PeerRunner,
} from "@heatherferry/runners";

/** The parts that carry out an entry host's effects. */
export interface EntryParts extends DaemonParts {
  readonly attempts: AttemptRunner;
  readonly callers: CallerServer;
  readonly peers: PeerRunner;
}

/** Hands each effect to the part that carries it out. */
export class EntryEffects extends DaemonEffects {
  constructor(private readonly parts: EntryParts) {
    super(parts);
  }

  protected override runOwn(effect: OwnEffect): void {
    const { attempts, callers, peers } = this.parts;
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
        callers.breakOff(effect.requestId);
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
      case "caller/replayKept":
      case "caller/forgetKept":
      case "tickets/issue":
      case "peer/forwardRequest":
      case "hosts/list":
      case "host/reboot":
        this.notOfThisRole(effect);
        return;
      default:
        assertNever(effect);
    }
  }
}
