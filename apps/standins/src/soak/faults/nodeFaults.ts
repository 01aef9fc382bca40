import type { PlannedFault } from "../types.js";
import type { WorkNode } from "../workNode.js";
import { PassingFault, SoakFault } from "./soakFault.js";

/** Sends a signal to whichever node owns the work, as often as the strength says. */
export class OwnerSignal extends PassingFault {
  constructor(
    site: SoakFault["site"],
    private readonly signal: NodeJS.Signals,
  ) {
    super(site);
  }

  override begin({ atMs, untilMs, strength }: PlannedFault): void {
    const times = Math.max(1, Math.round(strength));
    for (let index = 0; index < times; index += 1) {
      setTimeout(() => this.site.owner()?.signal(this.signal), (index * (untilMs - atMs)) / times);
    }
  }
}

/** Strikes the node that owns the work when the fault begins, also once another one owns it. */
abstract class OwnerFault extends SoakFault {
  private readonly struck = new Map<PlannedFault, WorkNode>();

  override begin(fault: PlannedFault): void {
    const owner = this.site.owner();
    if (owner !== null) {
      this.struck.set(fault, owner);
      this.strike(owner);
    }
  }

  override end(fault: PlannedFault): void {
    const node = this.struck.get(fault);
    this.struck.delete(fault);
    if (node !== undefined) {
      this.heal(node);
    }
  }

  protected abstract strike(node: WorkNode): void;

  protected abstract heal(node: WorkNode): void;
}

export class SuspendOwner extends OwnerFault {
  protected override strike(node: WorkNode): void {
    node.suspend(true);
  }

  protected override heal(node: WorkNode): void {
    node.suspend(false);
  }
}

export class CutOwner extends OwnerFault {
  protected override strike({ proxy }: WorkNode): void {
    proxy.cut();
  }

  protected override heal({ proxy }: WorkNode): void {
    proxy.heal();
  }
}

/** Kills a share of the processes at once; they stay away for the fault's time. */
export class KillNodes extends PassingFault {
  override begin({ atMs, untilMs, strength, draw }: PlannedFault): void {
    const { nodes } = this.site;
    const first = Math.floor(draw * nodes.length);
    const count = Math.max(1, Math.round(strength * nodes.length));
    for (let index = 0; index < count; index += 1) {
      nodes[(first + index) % nodes.length]?.kill(untilMs - atMs);
    }
  }
}

/** Stops all processes in turn. */
export class StopInTurn extends PassingFault {
  override begin({ atMs, untilMs }: PlannedFault): void {
    const { nodes } = this.site;
    nodes.forEach((node, index) => {
      setTimeout(
        () => {
          node.signal("SIGTERM");
        },
        (index * (untilMs - atMs)) / nodes.length,
      );
    });
  }
}
