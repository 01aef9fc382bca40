import { revision } from "@heatherferry/common";
import test from "ava";
import {
  addedLines,
  appendRule,
  checkedRules,
  diffRules,
  explain,
  formatDiff,
  removedLines,
  removeRule,
  revisionOfText,
  RULE_KIND,
  RulesError,
  setField,
  withRevisionLine,
} from "../src/index.js";

const BEFORE =
  "team a share=1 limit=1 # Ana\nteam b share=1 limit=1 # Ana\nteam c share=1 limit=1 # Ana";
const AFTER =
  "\nteam c  share=1 limit=1 # Ana\nteam a share=2 limit=1 # Luis\nteam d share=1 limit=1 # Ana";

test("a changed, moved or respaced rule is reported as a different kind of change", (t) => {
  const diff = diffRules(BEFORE, AFTER);
  t.is(
    formatDiff(diff),
    "- team b share=1 limit=1 # Ana\n" +
      "- team a share=1 limit=1 # Ana\n+ team a share=2 limit=1 # Luis\n" +
      "+ team d share=1 limit=1 # Ana\n",
  );
  t.deepEqual(diff.changed[0]?.to.line, 3);
  t.deepEqual(addedLines(diff), ["team d share=1 limit=1 # Ana", "team a share=2 limit=1 # Luis"]);
  t.deepEqual(removedLines(diff), ["team b share=1 limit=1 # Ana", "team a share=1 limit=1 # Ana"]);
});

test("an edit changes another line, or the removal of an unknown rule is accepted", (t) => {
  t.is(removeRule(BEFORE, RULE_KIND.TEAM, "b"), BEFORE.replace(/team b.*\n/u, ""));
  t.is(appendRule("x # y", "z"), "x # y\nz\n");
  t.throws(() => removeRule(BEFORE, RULE_KIND.KEY, "b"), { instanceOf: RulesError });
});

test("setting a field loses the comment or the other fields", (t) => {
  const wave = "wave w pool=p paused=no  # Ana, paused=no\r\n";
  t.is(
    setField(wave, RULE_KIND.WAVE, "w", "paused", "yes"),
    "wave w pool=p paused=yes  # Ana, paused=no\r\n",
  );
  t.is(
    setField("wave w pool=p # Ana\n", RULE_KIND.WAVE, "w", "paused", "yes"),
    "wave w pool=p paused=yes # Ana\n",
  );
});

test("the revision line is duplicated or changes the rest of the text", (t) => {
  const shown = withRevisionLine(BEFORE, revision(7));
  t.is(revisionOfText(shown), revision(7));
  t.is(withRevisionLine(shown, revision(8)), `# revision 8\n${BEFORE}`);
  t.is(revisionOfText(BEFORE), null);
});

test("a line that affects a team, pool or queue is missing from its explanation", (t) => {
  const rules = checkedRules(
    [
      "team a share=1 limit=1 # Ana",
      "team b share=1 limit=1 # Ben",
      `key k team=a hash=${"0".repeat(64)} # Kim`,
      "pool p hosts=* max-unavailable=1 # Pia",
      "queue q pool=p open=yes team=a # Quim",
      "wave w pool=p # Wim",
    ].join("\n"),
  );
  const linesOf = (kind: "team" | "pool" | "queue", name: string) =>
    explain(rules, { kind, name }).map(({ line, askedBy }) => `${line} ${askedBy}`);
  t.deepEqual(linesOf("team", "a"), ["1 Ana", "3 Kim", "5 Quim"]);
  t.deepEqual(linesOf("pool", "p"), ["4 Pia", "5 Quim", "6 Wim"]);
  t.deepEqual(linesOf("queue", "q"), ["5 Quim", "4 Pia", "1 Ana"]);
  t.deepEqual(linesOf("queue", "none"), []);
});
