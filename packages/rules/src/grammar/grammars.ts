import { RULE_KIND } from "../constants.js";
import type { Rule, RuleKind } from "../types.js";
import { KeyGrammar } from "./keyGrammar.js";
import { PoolGrammar } from "./poolGrammar.js";
import { QueueGrammar } from "./queueGrammar.js";
import type { RuleGrammar } from "./ruleGrammar.js";
import { TeamGrammar } from "./teamGrammar.js";
import { WaveGrammar } from "./waveGrammar.js";

const GRAMMAR = {
  [RULE_KIND.TEAM]: new TeamGrammar(),
  [RULE_KIND.KEY]: new KeyGrammar(),
  [RULE_KIND.POOL]: new PoolGrammar(),
  [RULE_KIND.QUEUE]: new QueueGrammar(),
  [RULE_KIND.WAVE]: new WaveGrammar(),
} as const;

const KINDS: readonly string[] = Object.values(RULE_KIND);

const isRuleKind = (text: string): text is RuleKind => KINDS.includes(text);

/**
 * Finds the grammar of a kind of rule.
 *
 * @param kind - The first word of a line.
 * @returns The grammar, or null if there is no such kind.
 */
export const grammarOf = (kind: string): RuleGrammar<Rule> | null =>
  isRuleKind(kind) ? GRAMMAR[kind] : null;

/**
 * Returns the grammar of a rule's kind.
 *
 * @param rule - A rule of any kind.
 */
export const grammarOfRule = (rule: Rule): RuleGrammar<Rule> => GRAMMAR[rule.kind];
