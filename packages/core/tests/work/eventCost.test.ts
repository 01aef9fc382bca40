import test from "ava";
import {
  END_KIND,
  storeVersion,
  type ItemKey,
  type StoreRow,
  type WorkSpec,
} from "../../src/index.js";
import { submissionRowOf, OwnerNode, reportOf } from "./ownerNode.js";
import { TEAM_CEILING } from "./siteFixtures.js";
import { stepOf, workOf } from "./workSpecs.js";

/** Greatest cost of an event on the larger site, as a multiple of its cost on the smaller one. */
const MAX_GROWTH = 2;

/** Costs below this are not compared; they are under a tenth of the cost of the event's message. */
const MIN_STEPS = 80;

const SETTLE_MS = 400;

const POLL_STEP_MS = 20;

const FIRST_SUBMITTED = 0x1000;

const idOf = (number: number): string => number.toString(16).padStart(16, "0");

const addressOf = (number: number): string => `10.0.${number >> 8}.${number & 255}:1`;

const step = stepOf(8, 1_000, []);

/** Submissions that wait, by what they wait for. */
const WAITING = {
  "for a label": workOf([{ ...step, requiredLabel: "none" }]),
  "for room": workOf([{ ...step, needs: { ...step.needs, memoryMb: 20_000 } }]),
  "for their team": workOf([
    { ...step, needs: { ...step.needs, cpuMilli: 2 * TEAM_CEILING.cpuMilli } },
  ]),
} as const;

type Why = keyof typeof WAITING;

const SHORT: WorkSpec = workOf([stepOf(1, 3_900, [])]);

/** An owner that counts the steps of its reducer. */
class CostedOwner extends OwnerNode {
  constructor(workers: number, waiting: number, why: Why) {
    const version = storeVersion(1);
    const rows = {
      workers: Array.from({ length: workers }, (_, index): StoreRow => {
        const report = reportOf(`w${index}`, 1, addressOf(index));
        return { type: "worker", version, report };
      }),
      handIns: Array.from({ length: waiting }, (_, index): StoreRow => {
        return { type: "handIn", version, submission: submissionRowOf(idOf(index), WAITING[why]) };
      }),
    };
    super(rows);
    for (let answered = 0; answered < workers;) {
      this.run(POLL_STEP_MS);
      for (const poll of this.polls.slice(answered)) {
        this.answerPoll(poll, { startWallMs: 1 });
        answered += 1;
      }
    }
    this.run(SETTLE_MS);
  }

  /** Delivers a submission that was accepted just now, so that it ranks before the waiting ones. */
  deliverSubmission(id: string): void {
    const handIn = { ...submissionRowOf(id, SHORT), acceptedWallMs: this.nowMs };
    this.answerFeed("handIns", {
      type: "handIn",
      version: storeVersion(this.version + 1),
      submission: handIn,
    });
  }

  /** Returns how many entries the reducer examines one by one during an action. */
  stepsOf(act: () => void): number {
    const { handlingCost } = this.state.work ?? { handlingCost: { steps: 0 } };
    const before = handlingCost.steps;
    act();
    return handlingCost.steps - before;
  }
}

/** Steps by kind of event. */
type Costs = Readonly<
  Record<"a submission" | "a poll answer" | "a run end" | "a clock tick" | "a second", number>
>;

const costsWith = (workers: number, waiting: number, why: Why): Costs => {
  const owner = new CostedOwner(workers, waiting, why);
  const submission = owner.stepsOf(() => {
    owner.deliverSubmission(idOf(FIRST_SUBMITTED));
  });
  owner.run(SETTLE_MS / 2);
  const start = owner.starts.at(-1);
  if (start === undefined) {
    throw new Error("no start order was sent");
  }
  owner.answerStart(start, "started");
  const line = { item: start.item, run: start.run, checkpoint: "", percent: 10, load: null };
  const poll = owner.nextPollOf(start.worker);
  const pollAnswer = owner.stepsOf(() => {
    owner.answerPoll(poll, { startWallMs: 1, running: [line] });
  });
  const lastPoll = owner.nextPollOf(start.worker);
  const end = owner.stepsOf(() => {
    owner.answerPoll(lastPoll, { startWallMs: 1, ends: [endOf(start.item, start.run)] });
  });
  owner.run(SETTLE_MS);
  const tick = owner.stepsOf(() => {
    owner.nowMs += 2 * POLL_STEP_MS;
    owner.handle({ type: "clock/ticked" });
  });
  const second = owner.stepsOf(() => {
    owner.run(1_000);
  });
  return {
    "a submission": submission,
    "a poll answer": pollAnswer,
    "a run end": end,
    "a clock tick": tick,
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

const SMALL_SITE = { workers: 300, waiting: 20 } as const;

const smallSiteCosts = new Map<Why, Costs>();

const costsOnSmallSite = (why: Why): Costs => {
  const costs = smallSiteCosts.get(why) ?? costsWith(SMALL_SITE.workers, SMALL_SITE.waiting, why);
  smallSiteCosts.set(why, costs);
  return costs;
};

const SITES: readonly { workers: number; waiting: number; why: Why }[] = [
  { workers: 3_000, waiting: 20, why: "for room" },
  { workers: 300, waiting: 500, why: "for room" },
  { workers: 3_000, waiting: 20, why: "for a label" },
  { workers: 300, waiting: 500, why: "for a label" },
  { workers: 300, waiting: 500, why: "for their team" },
  { workers: 3_000, waiting: 500, why: "for their team" },
];

for (const { workers, waiting, why } of SITES) {
  test(`events cost more with ${workers} workers and ${waiting} submissions waiting ${why}`, (t) => {
    const base = costsOnSmallSite(why);
    const costs = costsWith(workers, waiting, why);
    t.log({ base, costs });
    for (const [what, steps] of Object.entries(costs)) {
      const limit = MAX_GROWTH * Math.max(MIN_STEPS, base[what as keyof Costs]);
      t.true(steps <= limit, `${what}: ${steps} steps, at most ${limit}`);
    }
  });
}
