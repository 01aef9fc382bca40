import test from "ava";
import { entryHostId, rowKey, tableVersion } from "@heatherferry/common";
import { mergeRows, viewAgeMs } from "../src/index.js";
import { PeersCluster } from "./peersCluster.js";
import type { Node } from "./peersNode.js";
import { SECRET } from "./peersRows.js";

const HEAD = rowKey("rules/head");
const QUEUE = "queue dies pool=press # Ana: dies\n";
const OPEN = "queue walk-in pool=press open=yes team=cork # Ana: open counter\n";
const POOL_LINE = "pool press hosts=* max-unavailable=1 # Ana: presses\n";
const TEAM = "team cork share=1 limit=100 # Ana: cork\n";
const KEY = `key main team=cork hash=${SECRET} # Ana: first key\n`;
const WITH_KEY = `${TEAM}${POOL_LINE}${QUEUE}${OPEN}${KEY}`;
const WITHOUT_KEY = `${TEAM}${POOL_LINE}${QUEUE}${OPEN}`;

const createZone = (): { cluster: PeersCluster; nodes: [Node, Node, Node] } => {
  const cluster = new PeersCluster();
  cluster.applyRules(WITH_KEY, 1);
  cluster.addTarget("t1", 9);
  const nodes: [Node, Node, Node] = [
    cluster.startNode("a"),
    cluster.startNode("b"),
    cluster.startNode("c"),
  ];
  cluster.advance(4_000);
  return { cluster, nodes };
};

const endingOf = (cluster: PeersCluster, node: Node): string | undefined => {
  const id = cluster.send(node, "probe");
  cluster.advance(200);
  return cluster.endings.get(id);
};

test("an entry host that loses the platform keeps accepting keys through its peers", (t) => {
  const { cluster, nodes } = createZone();
  const [a] = nodes;
  cluster.disconnectedFromTable.add(a.id);
  for (let second = 0; second < 60; second += 1) {
    cluster.advance(800);
    t.is(endingOf(cluster, a), "answered", `second ${second}`);
  }
  t.true(a.state.peers.viewsReceived > 0);
});

test("a key withdrawn while one entry host has lost the platform is refused there within 5 s", (t) => {
  const { cluster, nodes } = createZone();
  const [a, b, c] = nodes;
  cluster.disconnectedFromTable.add(a.id);
  cluster.advance(10_000);
  cluster.applyRules(WITHOUT_KEY, 2);
  cluster.advance(5_000);
  for (const node of [a, b, c]) {
    t.is(endingOf(cluster, node), "notRun:unknownKey");
    t.is(Number(node.state.revisions.revision), 2);
  }
});

test("once all entry hosts have lost the platform, only open queues accept requests after 4 s", (t) => {
  const { cluster, nodes } = createZone();
  nodes.forEach(({ id }) => cluster.disconnectedFromTable.add(id));
  cluster.advance(4_200);
  for (const node of nodes) {
    t.is(endingOf(cluster, node), "notRun:keysTooOld");
    const open = cluster.send(node, "open", { queue: "walk-in" as never, keyHash: null });
    cluster.advance(200);
    t.is(cluster.endings.get(open), "answered");
  }
});

test("a peer with a stale view causes no return to older rules or to an older view", (t) => {
  const { cluster, nodes } = createZone();
  const [a, b] = nodes;
  cluster.disconnectedFromTable.add(b.id);
  cluster.losesMessage = () => true;
  const stale = [...b.state.platform.mirror.values()];
  const upToVersion = b.state.platform.ranges.get(HEAD)?.upToVersion ?? tableVersion(0);
  cluster.applyRules(WITHOUT_KEY, 2);
  cluster.advance(3_000);
  const confirmedAtMs = a.state.platform.ranges.get(HEAD)?.confirmedAtMs;
  cluster.handleEvent(a, {
    type: "table/readCompleted",
    sentAtMs: cluster.nowMs,
    viewAgeMs: 0,
    ranges: [{ prefix: HEAD, afterVersion: tableVersion(0) }],
    rows: stale,
    upToVersion,
    tableTimeMs: null,
  });
  t.is(Number(a.state.revisions.revision), 2);
  t.is(a.state.platform.ranges.get(HEAD)?.confirmedAtMs, confirmedAtMs);
  t.deepEqual(mergeRows(a.state, stale), []);
  t.is(endingOf(cluster, a), "notRun:unknownKey");
});

test("a view read from a peer counts as no fresher than it was at that peer", (t) => {
  const { cluster, nodes } = createZone();
  const [a, b, c] = nodes;
  cluster.disconnectedFromTable.add(a.id);
  cluster.losesMessage = (from, to) => [from, to].includes(a.id);
  cluster.advance(3_000);
  [b, c].forEach(({ id }) => cluster.disconnectedFromTable.add(id));
  cluster.losesMessage = () => false;
  cluster.advance(3_000);
  t.true(a.state.peers.viewsReceived > 0);
  cluster.advance(1_200);
  for (const node of nodes) {
    t.is(endingOf(cluster, node), "notRun:keysTooOld");
  }
});

test("an entry host restarted while it cannot reach the platform gets the rules from a peer", (t) => {
  const { cluster, nodes } = createZone();
  const [a] = nodes;
  cluster.kill(a);
  cluster.disconnectedFromTable.add(a.id);
  cluster.advance(500);
  const restarted = cluster.startNode("a", "2");
  cluster.advance(1_500);
  t.is(Number(restarted.state.revisions.revision), 1);
  t.true(viewAgeMs(restarted.state, HEAD) < 4_000);
});

test("a new entry host that has never reached the platform gets the rules from a seed peer", (t) => {
  const { cluster } = createZone();
  cluster.disconnectedFromTable.add(entryHostId("d"));
  const d = cluster.startNode("d", "1", ["b"]);
  cluster.advance(1_500);
  t.is(Number(d.state.revisions.revision), 1);
  t.deepEqual(d.state.membership.zonePeers, ["a", "b", "c", "d"].map(entryHostId));
});

test("an entry host whose fresher peer does not answer asks the other one", (t) => {
  const { cluster, nodes } = createZone();
  const [a, b] = nodes;
  cluster.disconnectedFromTable.add(a.id);
  cluster.losesMessage = (from, to) => from === a.id && to === b.id;
  let asked = 0;
  cluster.onEffect = (_node, effect) => {
    asked += effect.type === "peer/readView" && effect.to === b.id ? 1 : 0;
  };
  for (let second = 0; second < 20; second += 1) {
    cluster.advance(800);
    t.is(endingOf(cluster, a), "answered", `second ${second}`);
  }
  t.true(asked <= 7, `asked the unresponsive peer ${asked} times`);
});
