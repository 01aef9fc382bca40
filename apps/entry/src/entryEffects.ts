import { assertNever, type JsonLogger } from "@heatherferry/common";
import type { Effect } from "@heatherferry/core";
import {
  EffectRunner,
  type AttemptRunner,
  type CallerServer,
  type PeerRunner,
  type TableRunner,
} from "@heatherferry/runners";

/** Ends the process once nothing is left to do. */
export abstract class ExitSwitch {
  abstract exit(): void;
}

/** The parts that carry out an entry host's effects. */
export interface EntryParts {
  readonly log: JsonLogger;
  readonly table: TableRunner;
  readonly attempts: AttemptRunner;
  readonly callers: CallerServer;
  readonly peers: PeerRunner;
  readonly exitSwitch: ExitSwitch;
}

/** Hands each effect to the part that carries it out. */
export class EntryEffects extends EffectRunner {
  constructor(private readonly parts: EntryParts) {
    super();
  }

  override run(effect: Effect): void {
    const { log, table, attempts, callers, peers, exitSwitch } = this.parts;
    switch (effect.type) {
      case "table/read":
        void table.read(effect.ranges);
        return;
      case "table/write":
        void table.write(effect.write);
        return;
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
      case "rules/inForce":
        log("info", "rules.inForce", { revision: effect.revision });
        return;
      case "log/write":
        log(effect.level, effect.event, effect.fields);
        return;
      case "node/exit":
        exitSwitch.exit();
        return;
      case "caller/replayKept":
      case "caller/forgetKept":
      case "tickets/issue":
      case "peer/forwardRequest":
      case "hosts/list":
      case "host/reboot":
        log("error", "effect.notCarriedOut", { type: effect.type });
        return;
      default:
        assertNever(effect);
    }
  }
}
