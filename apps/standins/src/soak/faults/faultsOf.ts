import { FAULT } from "../constants.js";
import type { SoakSite } from "../soakSite.js";
import type { FaultKind } from "../types.js";
import { CutOwner, KillNodes, OwnerSignal, StopInTurn, SuspendOwner } from "./nodeFaults.js";
import { TrafficFault, type SoakFault } from "./soakFault.js";
import {
  ChangeConfig,
  DropHistory,
  EvacuateZone,
  LowerCeilings,
  RequestWave,
  SilenceStore,
  SlowStore,
} from "./storeFaults.js";
import {
  DrainWorkers,
  FailingWorkers,
  LateOrders,
  RestartAndCutWorkers,
  RestartWorkers,
  StalledWorkers,
} from "./workerFaults.js";

/** Returns what brings about each kind of fault at a site. */
export const faultsOf = (site: SoakSite): Readonly<Record<FaultKind, SoakFault>> => ({
  [FAULT.KILL_OWNER]: new OwnerSignal(site, "SIGKILL"),
  [FAULT.STOP_OWNER]: new OwnerSignal(site, "SIGTERM"),
  [FAULT.SUSPEND_OWNER]: new SuspendOwner(site),
  [FAULT.CUT_OWNER]: new CutOwner(site),
  [FAULT.KILL_NODES]: new KillNodes(site),
  [FAULT.STOP_IN_TURN]: new StopInTurn(site),
  [FAULT.SILENCE_STORE]: new SilenceStore(site),
  [FAULT.SLOW_STORE]: new SlowStore(site),
  [FAULT.DROP_HISTORY]: new DropHistory(site),
  [FAULT.RESTART_WORKERS]: new RestartWorkers(site),
  [FAULT.RESTART_AND_CUT]: new RestartAndCutWorkers(site),
  [FAULT.FAILING_WORKERS]: new FailingWorkers(site),
  [FAULT.STALLED_WORKERS]: new StalledWorkers(site),
  [FAULT.DRAIN_WORKERS]: new DrainWorkers(site),
  [FAULT.LATE_ORDERS]: new LateOrders(site),
  [FAULT.CHANGE_CONFIG]: new ChangeConfig(site),
  [FAULT.LOWER_CEILINGS]: new LowerCeilings(site),
  [FAULT.WAVE]: new RequestWave(site),
  [FAULT.EVACUATE_ZONE]: new EvacuateZone(site),
  [FAULT.HOPELESS_WORK]: new TrafficFault(site),
  [FAULT.BUSY_TEAM]: new TrafficFault(site),
  [FAULT.SURGE]: new TrafficFault(site),
  [FAULT.CANCEL_MANY]: new TrafficFault(site),
});
