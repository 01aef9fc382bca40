import test from "ava";
import {
  END_KIND,
  storeVersion,
  type ItemKey,
  type StoreRow,
  type WorkSpec,
} from "../../src/index.js";
import { handInOf, OwnerNode, reportOf } from "./ownerNode.js";
import { CEILING } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

/** What one event may cost on the larger site, in times of what it costs on the smaller one. */
const MOST_TIMES = 2;

/** Fewer steps than these take less than a tenth of what the event's message does. */
const FEW_STEPS = 80;

const SETTLE_MS = 400;

const LOOK_STEP_MS = 20;

const HAND_INS_FROM = 0x1000;

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

const addressOf = (number: number): string => `10.0.${number >> 8}.${number & 255}:1`;

const step = stepOf(8, 1_000, []);

/** Why submissions wait. */
const WAITING = {
  "for room": workOf([{ ...step, requiredLabel: "none" }]),
  "for their team": workOf([{ ...step, needs: { ...step.needs, cpuMilli: 2 * CEILING.cpuMilli } }]),
} as const;

type Why = keyof typeof WAITING;

const SHORT: WorkSpec = workOf([stepOf(1, 3_900, [])]);

/** An owner whose steps are counted. */
class CostedOwner extends OwnerNode {
  constructor(workers: number, waiting: number, why: Why) {
    const version = storeVersion(1);
    const rows = {
      workers: Array.from({ length: workers }, (_, index): StoreRow => {
        const report = reportOf(`w${index}`, 1, addressOf(index));
        return { type: "worker", version, report };
      }),
      handIns: Array.from({ length: waiting }, (_, index): StoreRow => {
        return { type: "handIn", version, handIn: handInOf(idOf(index), WAITING[why]) };
      }),
    };
    super(rows);
    for (let answered = 0; answered < workers;) {
      this.run(LOOK_STEP_MS);
      for (const look of this.looks.slice(answered)) {
        this.answerLook(look, { bornWallMs: 1 });
        answered += 1;
      }
    }
    this.run(SETTLE_MS);
  }

  /** Shows the owner a submission that was handed in just now, so that it goes before the others. */
  handIn(id: string): void {
    const handIn = { ...handInOf(id, SHORT), acceptedWallMs: this.nowMs };
    this.feed("handIns", { type: "handIn", version: storeVersion(this.version + 1), handIn });
  }

  /** @returns What the reducer looks at one by one while something happens. */
  stepsOf(act: () => void): number {
    const { effort } = this.state.work ?? { effort: { steps: 0 } };
    const before = effort.steps;
    act();
    return effort.steps - before;
  }
}

/** Steps by what happens. */
type Costs = Readonly<
  Record<"a hand-in" | "a look's answer" | "an end" | "a turn of the clock" | "a second", number>
>;

const costsWith = (workers: number, waiting: number, why: Why): Costs => {
  const owner = new CostedOwner(workers, waiting, why);
  const handIn = owner.stepsOf(() => {
    owner.handIn(idOf(HAND_INS_FROM));
  });
  owner.run(SETTLE_MS / 2);
  const start = owner.starts.at(-1);
  if (start === undefined) {
    throw new Error("nothing was started");
  }
  owner.answerStart(start, "started");
  const line = { item: start.item, run: start.run, checkpoint: "", percent: 10, load: null };
  const seen = owner.nextLookAt(start.worker);
  const look = owner.stepsOf(() => {
    owner.answerLook(seen, { bornWallMs: 1, running: [line] });
  });
  const last = owner.nextLookAt(start.worker);
  const end = owner.stepsOf(() => {
    owner.answerLook(last, { bornWallMs: 1, ends: [endOf(start.item, start.run)] });
  });
  owner.run(SETTLE_MS);
  const turn = owner.stepsOf(() => {
    owner.nowMs += 2 * LOOK_STEP_MS;
    owner.handle({ type: "clock/ticked" });
  });
  const second = owner.stepsOf(() => {
    owner.run(1_000);
  });
  return {
    "a hand-in": handIn,
    "a look's answer": look,
    "an end": end,
    "a turn of the clock": turn,
    "a second": second,
  };
};

const endOf = (
  item: ItemKey,
  run: number,
): { sequence: number; item: ItemKey; run: number; kind: "done"; checkpoint: string } => ({
  sequence: 1,
  item,
  run,
  kind: END_KIND.DONE,
  checkpoint: "",
});

const FEW = { workers: 300, waiting: 20 } as const;

const costsWithFew = new Map<Why, Costs>();

const fewCosts = (why: Why): Costs => {
  const costs = costsWithFew.get(why) ?? costsWith(FEW.workers, FEW.waiting, why);
  costsWithFew.set(why, costs);
  return costs;
};

const SITES: readonly { workers: number; waiting: number; why: Why }[] = [
  { workers: 3_000, waiting: 20, why: "for room" },
  { workers: 300, waiting: 500, why: "for room" },
  { workers: 300, waiting: 500, why: "for their team" },
  { workers: 3_000, waiting: 500, why: "for their team" },
];

for (const { workers, waiting, why } of SITES) {
  test(`events cost more with ${workers} workers and ${waiting} submissions waiting ${why}`, (t) => {
    const base = fewCosts(why);
    const costs = costsWith(workers, waiting, why);
    t.log({ base, costs });
    for (const [what, steps] of Object.entries(costs)) {
      const most = MOST_TIMES * Math.max(FEW_STEPS, base[what as keyof Costs]);
      t.true(steps <= most, `${what}: ${steps} steps, at most ${most}`);
    }
  });
}
