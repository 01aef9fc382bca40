import test from "ava";
import type { WorkSpec } from "../../src/index.js";
import { limitExceededBy } from "../../src/work/calls/submissionLimits.js";
import { submissionRowOf } from "./ownerNode.js";
import { stepOf, workOf } from "./workSpecs.js";

const ID = "00000000000000aa";

const exceeds = (work: WorkSpec): boolean => limitExceededBy(submissionRowOf(ID, work)) !== null;

for (const { what, work } of [
  { what: "a gang of 1,000 items", work: workOf([{ ...stepOf(1_000, 10, []), gang: true }]) },
  {
    what: "20,000 items that last",
    work: workOf([{ ...stepOf(20_000, 10, []), lasting: true }]),
  },
  {
    what: "items that last, in 20,000 occurrences",
    work: { ...workOf([{ ...stepOf(1, 10, []), lasting: true }]), occurrences: 20_000 },
  },
  {
    what: "a description of 400 steps",
    work: workOf(Array.from({ length: 400 }, () => stepOf(1, 10, []))),
  },
]) {
  test(`${what} is accepted, and no owner can hold it`, (t) => {
    t.true(exceeds(work));
  });
}

for (const { what, work } of [
  { what: "a step of 500,000 items", work: workOf([stepOf(500_000, 10, [])]) },
  {
    what: "a million occurrences",
    work: { ...workOf([stepOf(16, 10, [])]), occurrences: 1_000_000 },
  },
  { what: "a gang of 64 items", work: workOf([{ ...stepOf(64, 10, []), gang: true }]) },
]) {
  test(`${what} is refused although an owner can hold it`, (t) => {
    t.false(exceeds(work));
  });
}
