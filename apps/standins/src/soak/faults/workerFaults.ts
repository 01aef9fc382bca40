import type { LeasedWorker } from "../../work/leasedWorker.js";
import { SOAK } from "../constants.js";
import type { PlannedFault } from "../types.js";
import { SoakFault } from "./soakFault.js";

/** Disturbs a share of the workers until the end. */
abstract class WorkerFault extends SoakFault {
  private readonly struck = new Map<PlannedFault, readonly LeasedWorker[]>();

  override begin(fault: PlannedFault): void {
    const workers = this.site.fleet.choose(this.shareOf(fault), fault.draw);
    this.struck.set(fault, workers);
    workers.forEach((worker) => {
      this.strike(worker, fault);
      this.site.fleet.traitsChanged(worker);
    });
  }

  override end(fault: PlannedFault): void {
    const workers = this.struck.get(fault) ?? [];
    this.struck.delete(fault);
    workers.forEach((worker) => {
      this.heal(worker);
      this.site.fleet.traitsChanged(worker);
    });
  }

  /** Returns the share of the workers that the fault strikes. */
  protected shareOf({ strength }: PlannedFault): number {
    return strength;
  }

  protected abstract strike(worker: LeasedWorker, fault: PlannedFault): void;

  protected abstract heal(worker: LeasedWorker): void;
}

export class RestartWorkers extends WorkerFault {
  protected override strike(worker: LeasedWorker): void {
    worker.crash();
  }

  protected override heal(worker: LeasedWorker): void {
    if (worker.traits.down) {
      worker.restart();
      this.site.fleet.register(worker);
    }
  }
}

/** Workers restart, and are cut off a while later until the end of the fault. */
export class RestartAndCutWorkers extends WorkerFault {
  protected override strike(worker: LeasedWorker): void {
    worker.traits.keepsCalls = true;
    worker.crash();
    setTimeout(() => {
      worker.restart();
      this.site.fleet.register(worker);
    }, SOAK.RESTART_MS);
    setTimeout(() => {
      worker.setCutOff(true);
    }, SOAK.RESTART_MS + SOAK.CUT_AFTER_RESTART_MS);
  }

  protected override heal(worker: LeasedWorker): void {
    worker.traits.keepsCalls = false;
    worker.setCutOff(false);
  }
}

export class FailingWorkers extends WorkerFault {
  protected override strike({ traits }: LeasedWorker): void {
    traits.failsAll = true;
  }

  protected override heal({ traits }: LeasedWorker): void {
    traits.failsAll = false;
  }
}

export class StalledWorkers extends WorkerFault {
  protected override strike({ traits }: LeasedWorker): void {
    traits.stalls = true;
  }

  protected override heal({ traits }: LeasedWorker): void {
    traits.stalls = false;
  }
}

/** Workers drain, leave after the fault's time, and others start on their hosts. */
export class DrainWorkers extends WorkerFault {
  protected override strike(worker: LeasedWorker): void {
    worker.traits.draining = true;
    this.site.fleet.register(worker);
  }

  protected override heal(worker: LeasedWorker): void {
    this.site.fleet.replace(worker);
  }
}

export class LateOrders extends WorkerFault {
  protected override shareOf(): number {
    return 1;
  }

  protected override strike({ traits }: LeasedWorker, { strength }: PlannedFault): void {
    traits.lateOrderShare = strength;
  }

  protected override heal({ traits }: LeasedWorker): void {
    traits.lateOrderShare = 0;
  }
}
