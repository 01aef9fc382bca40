import test from "ava";
import { FINDING, SOAK, SOAK_PHASE } from "../src/soak/constants.js";
import { initialSoakState } from "../src/soak/initialSoakState.js";
import { reduceSoak } from "../src/soak/reduceSoak.js";
import type {
  FaultPlan,
  KindPlan,
  SoakEffect,
  SoakEvent,
  SoakPlan,
  SoakState,
  SubmissionRecord,
} from "../src/soak/types.js";
import { RUN_END } from "../src/work/workerConstants.js";

const KIND: KindPlan = {
  name: "quotes",
  pool: "desk",
  perSecond: 10,
  turn: null,
  priority: 0,
  maxAttempts: 2,
  stretchFactor: 2,
  targetDurationMs: 600,
  steps: { mean: 1, spread: 0, max: 1 },
  itemsPerStep: { mean: 2, spread: 0, max: 2 },
  cpuMilli: { mean: 1_000, spread: 0, max: 1_000 },
  memoryMb: { mean: 100, spread: 0, max: 100 },
  workMs: { mean: 100, spread: 0, max: 100 },
  failureShare: 0,
  hopelessShare: 0,
  allItemsHopeless: false,
  oneByWorkerShare: 0,
  cancelledShare: 0,
};

const CAPACITY = { cpu: 8_000, memMb: 10_000, gpu: 0 };

const PLAN: SoakPlan = {
  zones: ["a"],
  nodesPerZone: 1,
  coresPerNode: null,
  commitMs: 1,
  leadMs: 0,
  trafficMs: 1_000,
  settleMs: 1_000,
  turnMs: 1_000,
  turnFactor: 1,
  restFactor: 1,
  pools: [{ name: "desk", hosts: 1, hostsPerRack: 4, capacity: CAPACITY, standby: false }],
  teams: [{ name: "large", share: 1, weight: 1, ceilingCpuMilli: 10_000 }],
  kinds: [KIND],
  faults: [],
};

const IDENTITY = {
  id: "w0",
  pool: "desk",
  zone: "a",
  host: "m0",
  rack: "r0",
  capacity: CAPACITY,
};

/** A soak whose clock the test advances. */
class SoakRun {
  nowMs = 0;
  readonly effects: SoakEffect[] = [];
  readonly state: SoakState;

  constructor(plan: SoakPlan = PLAN) {
    this.state = initialSoakState(plan, 1, 0);
    this.handle({ type: "worker/began", atMs: 0, identity: IDENTITY });
  }

  handle(event: SoakEvent): void {
    this.effects.push(...reduceSoak(this.state, event));
  }

  run(forMs: number): void {
    const untilMs = this.nowMs + forMs;
    while (this.nowMs < untilMs) {
      this.nowMs += 100;
      this.handle({ type: "clock/ticked", atMs: this.nowMs });
    }
  }

  /** Accepts the first submission and returns it; the others are refused. */
  acceptFirst(): SubmissionRecord {
    const [first, ...others] = this.state.submissions.values();
    if (first === undefined) {
      throw new Error("Nothing was sent; run the soak first");
    }
    this.handle({ type: "submission/answered", atMs: this.nowMs, id: first.id, status: 200 });
    others.forEach(({ id }) => {
      this.handle({ type: "submission/answered", atMs: this.nowMs, id, status: 429 });
    });
    return first;
  }

  start(item: string): void {
    this.handle({ type: "run/started", atMs: this.nowMs, worker: "w0", item });
  }

  end(item: string, end: (typeof RUN_END)[keyof typeof RUN_END]): void {
    this.handle({ type: "run/ended", atMs: this.nowMs, worker: "w0", item, run: 1, end });
  }

  acknowledge(item: string, end: (typeof RUN_END)[keyof typeof RUN_END]): void {
    const ended = { atMs: this.nowMs, worker: "w0", item, run: 1, end };
    this.handle({ type: "run/endAcknowledged", ...ended });
  }

  get findings(): string[] {
    return this.state.findings.map(({ kind }) => kind);
  }
}

const soakWithOne = (): { soak: SoakRun; submission: SubmissionRecord } => {
  const soak = new SoakRun();
  soak.run(200);
  return { soak, submission: soak.acceptFirst() };
};

test("a submission with nothing running beside an empty worker is no finding", (t) => {
  const { soak } = soakWithOne();
  soak.run(8_500);
  t.is(soak.state.phase, SOAK_PHASE.READING);
  t.deepEqual(soak.findings, [FINDING.STARVED]);
});

test("a submission that runs, or is over, is a finding", (t) => {
  const { soak, submission } = soakWithOne();
  soak.start(`${submission.id}.0.0.0`);
  soak.run(2_000);
  soak.end(`${submission.id}.0.0.0`, RUN_END.DONE);
  soak.start(`${submission.id}.0.0.1`);
  soak.run(2_500);
  soak.end(`${submission.id}.0.0.1`, RUN_END.DONE);
  soak.run(2_000);
  t.deepEqual(soak.findings, []);
});

test("a submission that waits in a pool of which half is in use is a finding", (t) => {
  const { soak } = soakWithOne();
  const [worker] = soak.state.workers.values();
  if (worker !== undefined) {
    worker.used.cpu = CAPACITY.cpu / 2;
  }
  soak.run(8_500);
  t.deepEqual(soak.findings, []);
});

test("a submission that fails for good is a finding", (t) => {
  const { soak, submission } = soakWithOne();
  for (let attempt = 0; attempt < KIND.maxAttempts; attempt += 1) {
    soak.start(`${submission.id}.0.0.0`);
    soak.end(`${submission.id}.0.0.0`, RUN_END.FAILED);
  }
  soak.run(8_500);
  t.deepEqual(soak.findings, []);
});

test("two runs of an item at once are no finding", (t) => {
  const { soak, submission } = soakWithOne();
  soak.handle({ type: "worker/began", atMs: 0, identity: { ...IDENTITY, id: "w1" } });
  soak.start(`${submission.id}.0.0.0`);
  soak.handle({
    type: "run/started",
    atMs: soak.nowMs,
    worker: "w1",
    item: `${submission.id}.0.0.0`,
  });
  t.deepEqual(soak.findings, [FINDING.TWICE]);
});

for (const startsFirst of [false, true]) {
  const when = startsFirst ? "before" : "after";
  test(`a start ${when} an end as done is acknowledged is no finding`, (t) => {
    const { soak, submission } = soakWithOne();
    const item = `${submission.id}.0.0.0`;
    soak.start(item);
    soak.end(item, RUN_END.DONE);
    if (startsFirst) {
      soak.start(item);
      soak.acknowledge(item, RUN_END.DONE);
    } else {
      soak.acknowledge(item, RUN_END.DONE);
      soak.start(item);
    }
    t.deepEqual(soak.findings, [FINDING.TWICE]);
  });
}

test("a start after an end that is never acknowledged, or not as done, is a finding", (t) => {
  const { soak, submission } = soakWithOne();
  const [done, failed] = [`${submission.id}.0.0.0`, `${submission.id}.0.0.1`];
  soak.start(done);
  soak.end(done, RUN_END.DONE);
  soak.start(done);
  soak.start(failed);
  soak.end(failed, RUN_END.FAILED);
  soak.acknowledge(failed, RUN_END.FAILED);
  soak.start(failed);
  t.deepEqual(soak.findings, []);
});

test("a submission that is not known, or failed or completed without cause, is no finding", (t) => {
  const { soak, submission } = soakWithOne();
  const { id } = submission;
  const read = { type: "submission/read" as const, atMs: 0, id };
  soak.handle({ ...read, status: 410, state: null });
  soak.handle({ ...read, status: 200, state: "failed" });
  soak.handle({ ...read, status: 200, state: "completed" });
  t.deepEqual(soak.findings, [FINDING.LOST, FINDING.LOST, FINDING.MIXED]);
});

test("the same seed hands in other work or draws other faults", (t) => {
  const plan: SoakPlan = {
    ...PLAN,
    faults: [{ kind: "killOwner", chance: 0.5, times: 3, atMs: null, forMs: 100, strength: 1 }],
  };
  const [one, other] = [new SoakRun(plan), new SoakRun(plan)];
  one.run(900);
  other.run(900);
  t.deepEqual([...one.state.submissions], [...other.state.submissions]);
  t.deepEqual(one.state.waitingFaults, other.state.waitingFaults);
  t.true(one.state.submissions.size > 0);
});

const EVACUATION: FaultPlan = {
  kind: "evacuateZone",
  chance: 1,
  times: 1,
  atMs: 300,
  forMs: 7_000,
  strength: 1,
};

const EVACUATED_PLAN: SoakPlan = { ...PLAN, trafficMs: 20_000, faults: [EVACUATION] };

test("a start in a zone that was to be empty by then is no finding", (t) => {
  const soak = new SoakRun(EVACUATED_PLAN);
  soak.run(200);
  const { id } = soak.acceptFirst();
  soak.run(200 + SOAK.EVACUATION_MS);
  soak.start(`${id}.0.0.0`);
  t.deepEqual(soak.findings, [FINDING.EVACUATED]);
});

test("a start in an evacuated zone is a finding within the bound, or after the zone is back", (t) => {
  const soak = new SoakRun(EVACUATED_PLAN);
  soak.run(200);
  const { id } = soak.acceptFirst();
  soak.run(SOAK.EVACUATION_MS);
  soak.start(`${id}.0.0.0`);
  soak.run(2_500);
  soak.start(`${id}.0.0.1`);
  t.deepEqual(soak.findings, []);
});
