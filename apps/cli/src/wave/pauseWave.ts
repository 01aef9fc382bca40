import { type RuleSet, RULE_FIELD, RULE_KIND, setField } from "@heatherferry/rules";
import { waveId } from "@heatherferry/common";
import { RulesEdit } from "../edit/rulesEdit.js";

/** Pauses or resumes a maintenance wave. */
export class PauseWave extends RulesEdit {
  override readonly successMessage: string;

  /**
   * @param wave - Name of the wave.
   * @param paused - True to pause the wave, false to resume it.
   */
  constructor(
    private readonly wave: string,
    private readonly paused: boolean,
  ) {
    super();
    this.successMessage = paused
      ? `Wave ${wave} is paused: it takes no further host; hosts already out come back.`
      : `Wave ${wave} goes on.`;
  }

  override apply(text: string, rules: RuleSet): string {
    if (rules.waves.get(waveId(this.wave))?.paused === this.paused) {
      return text;
    }
    const value = this.paused ? "yes" : "no";
    return setField(text, RULE_KIND.WAVE, this.wave, RULE_FIELD.PAUSED, value);
  }
}
