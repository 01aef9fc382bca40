import { requestId, teamId, type RequestId, type TeamId } from "@heatherferry/common";
import test from "ava";
import fc from "fast-check";
import {
  createFairQueue,
  enqueue,
  peekNext,
  removeRequest,
  setShare,
  startPicked,
  type FairQueue,
} from "../src/index.js";

const everyTeam = (): boolean => true;

const takeNext = (
  queue: FairQueue,
  slotMs: number,
): { team: TeamId; requestId: RequestId } | null => {
  const picked = peekNext(queue, everyTeam);
  if (picked !== null) {
    startPicked(queue, picked, slotMs);
  }
  return picked;
};

const COMMAND = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({ type: fc.constant("add"), team: fc.nat(4), urgent: fc.boolean() }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ type: fc.constant("take"), team: fc.nat(4), urgent: fc.boolean() }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ type: fc.constant("cancel"), team: fc.nat(400), urgent: fc.boolean() }),
  },
);

test("no request is lost, duplicated, or served after it was cancelled", (t) => {
  const property = fc.property(fc.array(COMMAND, { maxLength: 800 }), (commands) => {
    const queue = createFairQueue();
    const waiting = new Set<RequestId>();
    commands.forEach(({ type, team, urgent }, index) => {
      if (type === "add") {
        const id = requestId(`r${index}`);
        enqueue(queue, teamId(`t${team}`), id, urgent);
        waiting.add(id);
      } else if (type === "cancel") {
        const id = [...waiting][team % Math.max(1, waiting.size)] ?? requestId("none");
        t.is(removeRequest(queue, id), waiting.delete(id));
      } else {
        const picked = takeNext(queue, 10);
        t.is(picked === null, waiting.size === 0);
        t.true(picked === null || waiting.delete(picked.requestId));
      }
    });
    t.is(queue.length, waiting.size);
    t.is(queue.positions.size, waiting.size);
  });
  fc.assert(property, { seed: 11, numRuns: 200 });
});

test("teams that always wait get slot time in proportion to their shares, however long their work takes", (t) => {
  const property = fc.property(
    fc.array(
      fc.record({
        share: fc.integer({ min: 1, max: 9 }),
        workMs: fc.integer({ min: 5, max: 200 }),
      }),
      {
        minLength: 2,
        maxLength: 6,
      },
    ),
    (teams) => {
      const queue = createFairQueue();
      const usedMs = teams.map(() => 0);
      teams.forEach(({ share }, index) => {
        setShare(queue, teamId(`t${index}`), share);
        enqueue(queue, teamId(`t${index}`), requestId(`first-${index}`), false);
      });
      for (let round = 0; round < 4_000; round += 1) {
        const picked = peekNext(queue, everyTeam);
        const index = Number(picked?.team.slice(1));
        const workMs = teams[index]?.workMs ?? 0;
        takeNext(queue, workMs);
        usedMs[index] = (usedMs[index] ?? 0) + workMs;
        enqueue(queue, teamId(`t${index}`), requestId(`${round}`), false);
      }
      const perShare = teams.map(({ share }, index) => (usedMs[index] ?? 0) / share);
      const lead = Math.max(...perShare) - Math.min(...perShare);
      const bound = Math.max(...teams.map(({ share, workMs }) => workMs / share));
      t.true(lead <= 2 * bound, `lead ${lead} of at most ${2 * bound}`);
    },
  );
  fc.assert(property, { seed: 11, numRuns: 60 });
});

test("a team that was idle gets no credit for the time without demand", (t) => {
  const queue = createFairQueue();
  const [busy, idle] = [teamId("busy"), teamId("idle")];
  for (let index = 0; index < 200; index += 1) {
    enqueue(queue, busy, requestId(`b${index}`), false);
  }
  for (let round = 0; round < 100; round += 1) {
    takeNext(queue, 10);
  }
  for (let index = 0; index < 50; index += 1) {
    enqueue(queue, idle, requestId(`i${index}`), false);
  }
  const pickedTeams = Array.from({ length: 40 }, () => takeNext(queue, 10)?.team);
  const idleCount = pickedTeams.filter((team) => team === idle).length;
  t.true(idleCount >= 19 && idleCount <= 21, `${idleCount} of 40 requests`);
});

test("urgent requests go before ordinary ones of any team", (t) => {
  const queue = createFairQueue();
  enqueue(queue, teamId("a"), requestId("ordinary"), false);
  enqueue(queue, teamId("b"), requestId("urgent"), true);
  t.is(takeNext(queue, 10)?.requestId, requestId("urgent"));
});
