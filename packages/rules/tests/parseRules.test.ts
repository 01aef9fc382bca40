import test from "ava";
import {
  checkedRules,
  formatProblem,
  parseRules,
  RULES,
  RulesError,
  type RuleSet,
} from "../src/index.js";

const HASH = "ab".repeat(32);

const VALID_LINES = [
  "# fleet of the valley",
  "",
  "team north share=3 limit=40 # Ana, council of March",
  `key north-1 team=north hash=${HASH} # Ana`,
  "pool dies hosts=die-* max-unavailable=2 # Luis",
  "queue stamps pool=dies open=yes team=north urgent=yes # Luis, walk-ins #2",
  "queue lots pool=dies # Ana",
  "wave spring pool=dies zone=a max-parallel=1 # Luis",
];

const problemsOf = (...lines: string[]): string[] =>
  parseRules(lines.join("\n")).problems.map(
    ({ kind, line, column }) => `${line}:${column} ${kind}`,
  );

const sizesOf = (rules: RuleSet): number[] => [
  rules.teams.size,
  rules.keys.size,
  rules.pools.size,
  rules.queues.size,
  rules.waves.size,
];

test("a valid file is rejected, or loses a rule or a default", (t) => {
  const { rules, problems } = parseRules(VALID_LINES.join("\r\n"));
  t.deepEqual(problems, []);
  t.deepEqual(sizesOf(rules), [1, 1, 1, 2, 1]);
  const lots = [...rules.queues.values()][1];
  t.like(lots, {
    line: 7,
    askedBy: "Ana",
    openTeam: null,
    urgent: false,
    maxQueued: RULES.DEFAULT_MAX_QUEUED,
    timeoutMs: RULES.DEFAULT_TIMEOUT_MS,
    maxViewAgeMs: null,
  });
  t.like([...rules.pools.values()][0], { maxUnavailable: 2, maxUnavailablePerRack: 2 });
  t.is([...rules.queues.values()][0]?.askedBy, "Luis, walk-ins #2");
});

test("a rule that does not say who asked for it is accepted", (t) => {
  t.deepEqual(problemsOf("team a share=1 limit=1"), ["1:23 noComment"]);
  t.deepEqual(problemsOf("team a share=1 limit=1 # - "), ["1:24 noComment"]);
});

test("only the first of many problems is reported, or they are out of order", (t) => {
  const problems = problemsOf(
    "tean a share=1 limit=1 # x",
    "team b share=0 limit=-1 color=red # x",
    "team c share = 3 limit=9999999 # x",
    "team # x",
    "team a= share=1 limit=1 # x",
    "team __proto__ share=1 limit=1 # x",
    "team constructor share=1 limit=1 # x",
    "key k team=nobody hash=12 # x",
    "pool p hosts=a/b max-unavailable=1 spare=maybe # x",
    "queue q pool=none # x",
    "team b share=1 limit=1 # x",
    "queue r pool=p team=b # x",
  );
  t.deepEqual(problems, [
    "1:1 unknownKind",
    "2:14 badValue",
    "2:22 negativeLimit",
    "2:25 unknownField",
    "3:8 malformed",
    "3:14 malformed",
    "3:16 malformed",
    "3:24 tooLarge",
    "3:31 missingField",
    "4:5 malformed",
    "4:5 missingField",
    "4:5 missingField",
    "5:6 malformed",
    "6:6 badName",
    "7:6 badName",
    "8:24 badValue",
    "9:14 badValue",
    "9:42 badValue",
    "10:14 unknownPool",
    "11:1 duplicate",
    "12:21 badValue",
  ]);
});

test("a problem is shown without its position or remedy", (t) => {
  const [problem] = parseRules("\nqueue q pool=none # Ana").problems;
  t.truthy(problem);
  t.is(
    problem && formatProblem("valley.rules", problem),
    'valley.rules:2:14: There is no pool "none". Add a pool line for it, or correct the name.',
  );
});

test("two keys share a secret, which stays valid after one of them is withdrawn", (t) => {
  const lines = [...VALID_LINES, `key north-2 team=north hash=${HASH} # Ana`];
  t.deepEqual(problemsOf(...lines), ["9:29 duplicate"]);
});

test("an escape sequence in a comment reaches a terminal", (t) => {
  t.deepEqual(problemsOf("team a share=1 limit=1 # Ana \u001b[2J"), ["1:30 malformed"]);
});

test("a file above the size limit is parsed", (t) => {
  const { rules, problems } = parseRules("# x\n".repeat(RULES.MAX_BYTES / 4 + 1));
  t.is(problems[0]?.kind, "tooLarge");
  t.deepEqual(sizesOf(rules), [0, 0, 0, 0, 0]);
});

test("a rule that refers to a discarded rule stays in the rule set", (t) => {
  const { rules } = parseRules(
    VALID_LINES.map((line) =>
      line.startsWith("team") ? "team north share=0 limit=1 # Ana" : line,
    ).join("\n"),
  );
  t.deepEqual(sizesOf(rules), [0, 0, 1, 1, 1]);
});

test("a file with problems is accepted as valid", (t) => {
  const error = t.throws(() => checkedRules("team a share=1\nkey b", "valley.rules"), {
    instanceOf: RulesError,
  });
  t.is(error.problems.length, 5);
  t.regex(error.message, /valley\.rules:1:15: .*\nNothing was changed\. Correct these lines/s);
});
