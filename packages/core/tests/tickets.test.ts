import test from "ava";
import { TICKETS } from "../src/index.js";
import { PeersCluster } from "./peersCluster.js";
import { issueTicket, type Ending, type Node } from "./peersNode.js";
import { SECRET } from "./peersRows.js";

const RULES = [
  "team cork share=1 limit=100 # Ana: cork",
  "pool press hosts=* max-unavailable=1 # Ana: presses",
  "queue dies pool=press timeout-ms=5000 # Ana: dies",
  `key main team=cork hash=${SECRET} # Ana: first key`,
  "",
].join("\n");

interface Zone {
  readonly cluster: PeersCluster;
  readonly a: Node;
  readonly b: Node;
}

const createZone = (): Zone => {
  const cluster = new PeersCluster();
  cluster.applyRules(RULES, 1);
  cluster.addTarget("t1", 80);
  const [a, b] = [cluster.startNode("a"), cluster.startNode("b")];
  cluster.advance(4_000);
  return { cluster, a, b };
};

const WITH_KEY = { idempotencyKey: "lot-7" };

/** Request fields that identify work, so that duplicates of a request are detected. */
const WORK_IDENTITIES = {
  ticket: ({ a }: Zone) => ({ ticket: issueTicket(a) }),
  "request id": () => WITH_KEY,
} as const;

const KILL_DELAYS_MS = [0, 1, 2, 3, 4, 5, 8, 20, 53, 54, 55, 56, 57, 58, 60, 80, 300];

const runsOf = (cluster: PeersCluster, work: string): number => cluster.runs.get(work) ?? 0;

for (const [name, identify] of Object.entries(WORK_IDENTITIES)) {
  test(`work with a ${name} runs at most once when its entry host is killed at any moment`, (t) => {
    for (const delayMs of KILL_DELAYS_MS) {
      const setup = createZone();
      const { cluster, a, b } = setup;
      const fields = identify(setup);
      cluster.send(a, "mark", fields);
      cluster.advance(delayMs);
      cluster.kill(a);
      const duplicates = [cluster.send(b, "mark", fields)];
      cluster.advance(6_000);
      duplicates.push(cluster.send(b, "mark", fields));
      cluster.advance(12_000);
      const successor = cluster.startNode("a", "2");
      cluster.advance(3_000);
      duplicates.push(cluster.send(b, "mark", fields), cluster.send(successor, "mark", fields));
      cluster.advance(6_000);
      t.true(runsOf(cluster, "mark") <= 1, `killed after ${delayMs} ms`);
      for (const duplicate of duplicates) {
        const ending = cluster.endings.get(duplicate) ?? "none";
        t.not(ending, "none", `killed after ${delayMs} ms`);
        t.true(ending !== "answered" || runsOf(cluster, "mark") === 1);
      }
    }
  });

  test(`duplicates of a ${name} sent through two entry hosts share one run and one answer`, (t) => {
    for (const delayMs of [0, 1, 2, 3, 5, 30, 54, 200, 2_000]) {
      const setup = createZone();
      const { cluster, a, b } = setup;
      const fields = identify(setup);
      const first = cluster.send(a, "mark", fields);
      cluster.advance(delayMs);
      const others = [cluster.send(b, "mark", fields), cluster.send(a, "mark", fields)];
      cluster.advance(1_000);
      t.is(runsOf(cluster, "mark"), 1, `repeated after ${delayMs} ms`);
      for (const id of [first, ...others]) {
        t.regex(cluster.endings.get(id) ?? "none", /^(answered|replayed)$/);
      }
    }
  });

  test(`a ${name} whose answer broke off stays unknown for all duplicates and runs once`, (t) => {
    const setup = createZone();
    const { cluster, a, b } = setup;
    const fields = identify(setup);
    cluster.interruptsAnswer = () => true;
    const first = cluster.send(a, "mark", fields);
    cluster.advance(20);
    const waiting = cluster.send(b, "mark", fields);
    cluster.advance(1_000);
    cluster.interruptsAnswer = () => false;
    const later = cluster.send(a, "mark", fields);
    cluster.advance(1_000);
    const endings = [first, waiting, later].map((id) => cluster.endings.get(id));
    const expected: Ending[] = ["brokenOff", "unknown:answerNotKept", "unknown:answerNotKept"];
    t.deepEqual(endings, expected);
    t.is(runsOf(cluster, "mark"), 1);
  });

  test(`a ${name} whose kept answer has expired is unknown, not run again`, (t) => {
    const setup = createZone();
    const { cluster, a } = setup;
    const fields = identify(setup);
    cluster.send(a, "mark", fields);
    cluster.advance(TICKETS.WORK_RETENTION_MS + 2_000);
    const later = cluster.send(a, "mark", fields);
    cluster.advance(1_000);
    t.regex(cluster.endings.get(later) ?? "none", /^unknown:/);
    t.is(runsOf(cluster, "mark"), 1);
  });

  test(`a ${name} continues when its caller disconnects, and its duplicate gets the answer`, (t) => {
    const setup = createZone();
    const { cluster, a, b } = setup;
    const fields = identify(setup);
    const first = cluster.send(a, "mark", fields);
    cluster.advance(20);
    cluster.handleEvent(a, { type: "request/cancelled", requestId: first });
    const duplicate = cluster.send(b, "mark", fields);
    cluster.advance(1_000);
    t.is(cluster.endings.get(duplicate), "replayed");
    t.is(runsOf(cluster, "mark"), 1);
  });
}

test("work with a ticket runs while the platform is down, and only once", (t) => {
  const setup = createZone();
  const { cluster, a, b } = setup;
  const fields = WORK_IDENTITIES.ticket(setup);
  [a, b].forEach(({ id }) => cluster.disconnectedFromTable.add(id));
  cluster.advance(1_000);
  const first = cluster.send(a, "mark", fields);
  cluster.advance(500);
  const duplicate = cluster.send(b, "mark", fields);
  cluster.advance(500);
  t.is(cluster.endings.get(first), "answered");
  t.is(cluster.endings.get(duplicate), "replayed");
  t.is(runsOf(cluster, "mark"), 1);
});

test("a request id that cannot be claimed is refused as not run and never runs later", (t) => {
  const { cluster, a } = createZone();
  cluster.disconnectedFromTable.add(a.id);
  const first = cluster.send(a, "mark", { ...WITH_KEY, timeoutMs: 1_500 });
  cluster.advance(2_000);
  t.is(cluster.endings.get(first), "notRun:claimUnavailable");
  cluster.disconnectedFromTable.delete(a.id);
  cluster.advance(20_000);
  t.is(runsOf(cluster, "mark"), 0);
});

test("a claim that took effect while its reply was lost does not block the duplicate request", (t) => {
  for (const through of ["a", "b"] as const) {
    const setup = createZone();
    const { cluster, a } = setup;
    cluster.losingTableReplies.add(a.id);
    const first = cluster.send(a, "mark", { ...WITH_KEY, timeoutMs: 1_500 });
    cluster.advance(2_000);
    t.is(cluster.endings.get(first), "notRun:claimUnavailable");
    t.is(runsOf(cluster, "mark"), 0);
    cluster.losingTableReplies.clear();
    cluster.advance(8_000);
    const duplicate = cluster.send(setup[through], "mark", WITH_KEY);
    cluster.advance(2_000);
    t.is(cluster.endings.get(duplicate), "answered", through);
    t.is(runsOf(cluster, "mark"), 1);
  }
});

test("a key that is already claimed does not delay the other claims of its transaction", (t) => {
  const { cluster, a, b } = createZone();
  cluster.send(b, "taken", { idempotencyKey: "taken" });
  cluster.advance(500);
  const before = cluster.table.writes;
  const works = Array.from({ length: 100 }, (_, index) => `mark-${index}`);
  const ids = [...works, "taken"].map((work) => cluster.send(a, work, { idempotencyKey: work }));
  cluster.advance(400);
  t.true(ids.every((id) => /answered|replayed/.test(cluster.endings.get(id) ?? "none")));
  t.true([...works, "taken"].every((work) => runsOf(cluster, work) === 1));
  t.true(cluster.table.writes - before <= 6, `${cluster.table.writes - before} writes`);
  t.is([...a.state.platform.mirror.keys()].filter((key) => key.startsWith("claim/")).length, 0);
});

test("a ticket that is forged, not yet issued, or expired starts no work", (t) => {
  const { cluster, a } = createZone();
  const ticket = issueTicket(a);
  const forged = cluster.send(a, "forged", { ticket: { ...ticket, genuine: false } });
  const early = cluster.send(a, "early", { ticket: { ...ticket, sequence: 99 } });
  cluster.advance(TICKETS.TTL_MS + 1_000);
  const late = cluster.send(a, "late", { ticket });
  cluster.advance(1_000);
  const endings = [forged, early, late].map((id) => cluster.endings.get(id));
  const expected: Ending[] = [
    "notRun:ticketInvalid",
    "notRun:ticketInvalid",
    "unknown:ticketInvalid",
  ];
  t.deepEqual(endings, expected);
  t.is(cluster.runs.size, 0);
});

test("an answer too large to be kept makes its duplicate unknown, not a second run", (t) => {
  const { cluster, a } = createZone();
  cluster.onEffect = (node, effect) => {
    if (effect.type === "caller/relay" && effect.keepAs !== null) {
      const keptAs = effect.keepAs;
      cluster.schedule(1, () => {
        cluster.handleEvent(node, { type: "answer/notKept", keptAs });
      });
    }
  };
  cluster.send(a, "mark", WITH_KEY);
  cluster.advance(500);
  const duplicate = cluster.send(a, "mark", WITH_KEY);
  cluster.advance(500);
  t.is(cluster.endings.get(duplicate), "unknown:answerNotKept");
  t.is(runsOf(cluster, "mark"), 1);
});

test("a claim that commits after its request was refused starts the duplicate request once", (t) => {
  const { cluster, a } = createZone();
  cluster.tableDelayMs = 1_500;
  const first = cluster.send(a, "mark", { ...WITH_KEY, timeoutMs: 1_000 });
  cluster.advance(1_200);
  cluster.tableDelayMs = 3;
  const duplicate = cluster.send(a, "mark", WITH_KEY);
  cluster.advance(2_000);
  t.is(cluster.endings.get(first), "notRun:claimUnavailable");
  t.is(cluster.endings.get(duplicate), "answered");
  t.is(runsOf(cluster, "mark"), 1);
});

test("a ticket whose work record was evicted is unknown, not run again", (t) => {
  const { cluster, a } = createZone();
  cluster.serviceMs = () => 1;
  const ticket = issueTicket(a);
  cluster.send(a, "mark", { ticket });
  for (let sent = 0; sent < TICKETS.MAX_WORK_RECORDS; sent += 1) {
    cluster.send(a, `other-${sent}`, { ticket: issueTicket(a) });
    cluster.advance(sent % 20 === 0 ? 5 : 0);
  }
  cluster.advance(200);
  t.true(a.state.tickets.workRecords.size <= TICKETS.MAX_WORK_RECORDS);
  const duplicate = cluster.send(a, "mark", { ticket });
  cluster.advance(200);
  t.is(cluster.endings.get(duplicate), "unknown:ticketInvalid");
  t.is(runsOf(cluster, "mark"), 1);
});

test("a ticket costs no table write, and claims that arrive together share their writes", (t) => {
  for (const perSecond of [100, 1_000]) {
    const { cluster, a } = createZone();
    cluster.serviceMs = () => 1;
    let claimWrites = 0;
    const waitsMs: number[] = [];
    const sentAtMs = new Map<string, number>();
    cluster.onEffect = (_node, effect) => {
      const put = effect.type === "table/write" ? effect.write.puts[0] : undefined;
      claimWrites += put?.body.type === "claim" ? 1 : 0;
      if (effect.type === "attempt/dispatch") {
        waitsMs.push(cluster.nowMs - (sentAtMs.get(effect.requestId) ?? 0));
      }
    };
    for (let sent = 0; sent < perSecond; sent += 1) {
      const id = cluster.send(a, `mark-${sent}`, { idempotencyKey: `lot-${sent}` });
      sentAtMs.set(id, cluster.nowMs);
      cluster.advance(1_000 / perSecond);
    }
    cluster.advance(1_000);
    const writesForClaims = claimWrites;
    const worstMs = Math.max(...waitsMs);
    cluster.send(a, "other", { ticket: issueTicket(a) });
    cluster.advance(100);
    t.is(claimWrites, writesForClaims);
    t.is(waitsMs.length, perSecond + 1);
    t.true(writesForClaims <= perSecond && worstMs <= 3 * cluster.tableDelayMs);
    t.log(
      `${perSecond}/s: ${writesForClaims / perSecond} writes per request, at most ${worstMs} ms`,
    );
  }
});
