import test from "ava";
import { isStoreSilent, longestAnswerMs } from "../../src/work/admission/index.js";
import { OWNERSHIP, STORE } from "../../src/work/constants.js";

const USUAL_ANSWER_MS = 4;

const answersAfter = (silentMs: number, longest: number, lagMs = 0): boolean =>
  isStoreSilent({
    silentMs,
    askIntervalMs: OWNERSHIP.POLL_MS,
    longestAnswerMs: longest,
    lagMs,
  });

/** The longest silence of a store that answers each poll after a time. */
const silenceOf = (answerMs: number): number => OWNERSHIP.POLL_MS + answerMs;

test("a store that is 60 times slower than usual from one moment to the next counts as silent", (t) => {
  t.false(answersAfter(silenceOf(60 * USUAL_ANSWER_MS), USUAL_ANSWER_MS));
});

test("a store that stays slow counts as silent", (t) => {
  let longest = USUAL_ANSWER_MS;
  for (const answerMs of [300, 450, 600, 900, 900]) {
    t.false(answersAfter(silenceOf(answerMs), longest), `${answerMs} ms after ${longest} ms`);
    longest = longestAnswerMs(longest, answerMs);
  }
});

test("a node that is cut off goes on writing until the store counts as lost", (t) => {
  t.true(answersAfter(STORE.LOST_MS - 500, USUAL_ANSWER_MS));
});

test("a node that handles answers late takes the store for silent", (t) => {
  t.false(answersAfter(900, USUAL_ANSWER_MS, 250));
});
