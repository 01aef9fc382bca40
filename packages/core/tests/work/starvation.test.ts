import test from "ava";
import { RESERVATION, STARVATION_REASON, WORKER_CLOSURE } from "../../src/index.js";
import { OwnerNode, reportOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const ID = "00000000000000aa";

/** Longer than a submission may wait before its reason is logged. */
const WAIT_MS = 4_000;

const starvedNode = (prepare: (node: OwnerNode) => void): OwnerNode => {
  const node = new OwnerNode();
  node.register(reportOf("w0", 100));
  node.answerPoll(node.nextPollOf("w0"), { startWallMs: 100 });
  prepare(node);
  node.submit(ID, workOf([stepOf(2, 500, [])]));
  node.run(WAIT_MS);
  return node;
};

const starvations = (node: OwnerNode): unknown[] =>
  node.logged("submission.starved").map(({ fields }) => fields);

test("no line says that the workers with room are kept free for a move", (t) => {
  const node = starvedNode(({ state }) => {
    state.work?.owned?.workers.forEach((worker) => {
      worker.reservedFor = { purpose: RESERVATION.MOVE, number: 1 };
    });
  });
  t.like(starvations(node), [
    {
      submission: ID,
      item: `${ID}.0.0.0`,
      reason: STARVATION_REASON.WORKERS_CLOSED,
      closure: WORKER_CLOSURE.RESERVED,
      workersWithRoom: 1,
    },
  ]);
});

test("no line says that a submission with room is not in line for its pool", (t) => {
  const node = starvedNode(({ state }) => {
    state.work?.owned?.workers.forEach((worker) => {
      worker.suspendedUntilMs = Infinity;
    });
  });
  const owned = node.state.work?.owned;
  const submission = [...(owned?.submissions.values() ?? [])][0];
  submission?.backlog?.remove(submission);
  node.run(WAIT_MS);
  t.like(starvations(node), [
    { reason: STARVATION_REASON.WORKERS_CLOSED, closure: WORKER_CLOSURE.SUSPENDED },
    { reason: STARVATION_REASON.NOT_QUEUED },
  ]);
});

test("a submission that waits for room is called starved", (t) => {
  const node = starvedNode((owner) => {
    owner.submit("00000000000000bb", workOf([stepOf(4, 1_000, [])]));
    owner.run(200);
  });
  t.true(node.starts.length > 0);
  t.deepEqual(starvations(node), []);
});
