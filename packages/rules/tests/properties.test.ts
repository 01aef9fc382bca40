import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import {
  availabilityZoneId,
  keyHash,
  keyId,
  poolId,
  queueId,
  teamId,
  waveId,
} from "@heatherferry/common";
import test from "ava";
import fc from "fast-check";
import {
  appendRule,
  diffRules,
  formatRules,
  isEmptyDiff,
  parseRules,
  type Rule,
  RULE_KIND,
  rulesInOrder,
  removeRule,
} from "../src/index.js";

const SEED = { seed: 20_261_204, numRuns: 1_000 };

const TEAMS = ["a", "north-1", "c.x_2"].map(teamId);
const POOLS = ["dies", "0", "archive.b"].map(poolId);

const NAME = fc.stringMatching(/^[a-z0-9][a-z0-9._-]{0,20}$/u).filter((name) => !(name in {}));
const COUNT = fc.integer({ min: 1, max: 1_000_000 });
const DURATION_MS = fc.integer({ min: 1, max: 86_400_000 });
const ASKED_BY = fc
  .string({
    minLength: 1,
    unit: fc.constantFrom("a", "Z", "9", " ", "é", "\u{1f600}", "#", "=", "\t", ","),
  })
  .map((text) => `A ${text}`.trim());

const TEAM_RULES = fc.tuple(
  ...TEAMS.map((team) =>
    fc.record({
      kind: fc.constant(RULE_KIND.TEAM),
      team: fc.constant(team),
      share: COUNT,
      limit: COUNT,
      askedBy: ASKED_BY,
    }),
  ),
);

const POOL_RULES = fc.tuple(
  ...POOLS.map((pool) =>
    fc.record({
      kind: fc.constant(RULE_KIND.POOL),
      pool: fc.constant(pool),
      hosts: fc.stringMatching(/^[a-z*?][a-z0-9.*?-]{0,9}$/u),
      maxUnavailable: COUNT,
      maxUnavailablePerRack: COUNT,
      spare: fc.boolean(),
      askedBy: ASKED_BY,
    }),
  ),
);

const KEY_RULE = fc
  .record({ name: NAME, team: fc.constantFrom(...TEAMS), askedBy: ASKED_BY })
  .map(({ name, ...fields }) => ({
    ...fields,
    kind: RULE_KIND.KEY,
    key: keyId(name),
    hash: keyHash(createHash("sha256").update(name).digest("hex")),
  }));

const QUEUE_RULE = fc.record({
  kind: fc.constant(RULE_KIND.QUEUE),
  queue: NAME.map(queueId),
  pool: fc.constantFrom(...POOLS),
  openTeam: fc.option(fc.constantFrom(...TEAMS)),
  urgent: fc.boolean(),
  maxQueued: COUNT,
  timeoutMs: DURATION_MS,
  maxViewAgeMs: fc.option(DURATION_MS),
  askedBy: ASKED_BY,
});

const WAVE_RULE = fc.record({
  kind: fc.constant(RULE_KIND.WAVE),
  wave: NAME.map(waveId),
  pool: fc.constantFrom(...POOLS),
  availabilityZone: fc.option(NAME.map(availabilityZoneId)),
  maxParallel: COUNT,
  maxFailures: COUNT,
  paused: fc.boolean(),
  askedBy: ASKED_BY,
});

const RULE_LIST: fc.Arbitrary<Rule[]> = fc
  .tuple(
    TEAM_RULES,
    POOL_RULES,
    fc.uniqueArray(KEY_RULE, { selector: ({ key }) => key, maxLength: 5 }),
    fc.uniqueArray(QUEUE_RULE, { selector: ({ queue }) => queue, maxLength: 5 }),
    fc.uniqueArray(WAVE_RULE, { selector: ({ wave }) => wave, maxLength: 5 }),
  )
  .map((groups) => groups.flat().map((rule, index): Rule => ({ ...rule, line: index + 1 })));

const textOf = (rules: readonly Rule[]): string =>
  formatRules({
    teams: new Map(rules.flatMap((r) => (r.kind === RULE_KIND.TEAM ? [[r.team, r]] : []))),
    keys: new Map(rules.flatMap((r) => (r.kind === RULE_KIND.KEY ? [[r.key, r]] : []))),
    pools: new Map(rules.flatMap((r) => (r.kind === RULE_KIND.POOL ? [[r.pool, r]] : []))),
    queues: new Map(rules.flatMap((r) => (r.kind === RULE_KIND.QUEUE ? [[r.queue, r]] : []))),
    waves: new Map(rules.flatMap((r) => (r.kind === RULE_KIND.WAVE ? [[r.wave, r]] : []))),
  });

test("a formatted rule set parses to a different one", (t) => {
  fc.assert(
    fc.property(RULE_LIST, (rules) => {
      const parsed = parseRules(textOf(rules));
      assert.deepEqual(parsed.problems, []);
      assert.deepEqual(rulesInOrder(parsed.rules), rules);
    }),
    SEED,
  );
  t.pass();
});

const FRAGMENT = fc.constantFrom(
  ..."team key pool queue wave a b share= limit= team= pool=a =1 1 - -1 yes # \n \r \t \0".split(
    " ",
  ),
);

test("some text makes the parser throw, misplace a problem or return invalid rules", (t) => {
  const anyText = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.array(FRAGMENT, { maxLength: 60 }).map((parts) => parts.join(" ")),
  );
  fc.assert(
    fc.property(anyText, (text) => {
      const { rules, problems } = parseRules(text);
      const lines = problems.map(({ line }) => line);
      assert.deepEqual(
        lines,
        [...lines].sort((a, b) => a - b),
      );
      assert.ok(problems.every(({ column }) => column >= 1));
      assert.deepEqual(parseRules(formatRules(rules)).problems, []);
    }),
    SEED,
  );
  t.pass();
});

test("adding or removing a rule changes another line", (t) => {
  fc.assert(
    fc.property(RULE_LIST, (rules) => {
      const text = `# kept\r\n\r\n${textOf(rules)}`;
      const added = appendRule(text, "team zz-new share=1 limit=1 # Ana");
      assert.equal(removeRule(added, RULE_KIND.TEAM, "zz-new"), text);
      assert.ok(isEmptyDiff(diffRules(text, textOf([...rules].reverse()))));
      assert.deepEqual(
        diffRules(text, added).added.map((line) => line.text),
        ["team zz-new share=1 limit=1 # Ana"],
      );
    }),
    SEED,
  );
  t.pass();
});
