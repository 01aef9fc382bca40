import { hostId } from "@heatherferry/common";
import { RULE_KIND } from "@heatherferry/rules";
import { Command, Option } from "clipanion";
import { Drain } from "../drain/drain.js";
import { Undrain } from "../drain/undrain.js";
import { EditRules } from "../edit/editRules.js";
import { COMMAND_ERROR_KIND, CommandError } from "../errors.js";
import { ExplainHost } from "../explain/explainHost.js";
import { ExplainSubject } from "../explain/explainSubject.js";
import type { Operation } from "../operation/operation.js";
import { ShowStatus } from "../status/showStatus.js";
import { PauseWave } from "../wave/pauseWave.js";
import { ShowWave } from "../wave/showWave.js";
import { PlatformCommand, RulesCommand } from "./operatorCommand.js";

const CATEGORY = "Fleet";

/** Shows the state of the whole system. */
export class StatusCommand extends PlatformCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Show the revision, the entry hosts, the pools and the waves",
    examples: [["Show all", "$0 status"]],
  });

  protected override createOperation(): Operation {
    return new ShowStatus();
  }
}

/** Shows the rules that apply to one team, pool, queue or host. */
export class ExplainCommand extends PlatformCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Show the lines that decide for a team, pool, queue or host",
    examples: [
      ["Why a team waits", "$0 explain team bodegas"],
      ["Why a host is out", "$0 explain host die-a-3"],
    ],
  });

  kind = Option.String({ name: "team|pool|queue|host" });
  name = Option.String();

  protected override createOperation(): Operation {
    switch (this.kind) {
      case RULE_KIND.TEAM:
      case RULE_KIND.POOL:
      case RULE_KIND.QUEUE:
        return new ExplainSubject({ kind: this.kind, name: this.name });
      case "host":
        return new ExplainHost(hostId(this.name));
      default:
        throw new CommandError(
          COMMAND_ERROR_KIND.BAD_OPTION,
          `"${this.kind}" cannot be explained`,
          "Pass team, pool, queue or host",
        );
    }
  }
}

/** Takes a host out of service. */
export class DrainCommand extends PlatformCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Take a host out of service",
    details: "Refused when the pool's availability budget does not allow it.",
    examples: [["Drain a host", "$0 drain die-a-3"]],
  });

  host = Option.String();

  protected override createOperation(): Operation {
    return new Drain(hostId(this.host));
  }
}

/** Puts a host back in service. */
export class UndrainCommand extends PlatformCommand {
  static override paths = [["undrain"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Put a drained host back in service",
    examples: [["Put a host back", "$0 undrain die-a-3"]],
  });

  host = Option.String();

  protected override createOperation(): Operation {
    return new Undrain(hostId(this.host));
  }
}

/** Shows a wave's progress. */
export class WaveCommand extends PlatformCommand {
  static override paths = [["wave"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Show the progress of a wave",
    examples: [["Show a wave", "$0 wave spring"]],
  });

  wave = Option.String();

  protected override createOperation(): Operation {
    return new ShowWave(this.wave);
  }
}

/** Pauses a wave. */
export class WavePauseCommand extends RulesCommand {
  static override paths = [["wave", "pause"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Pause a wave",
    examples: [["Pause a wave", "$0 wave pause spring"]],
  });

  wave = Option.String();

  protected override createOperation(): Operation {
    return new EditRules(new PauseWave(this.wave, true), this.author());
  }
}

/** Resumes a paused wave. */
export class WaveResumeCommand extends RulesCommand {
  static override paths = [["wave", "resume"]];
  static override usage = Command.Usage({
    category: CATEGORY,
    description: "Let a paused wave go on",
    examples: [["Resume a wave", "$0 wave resume spring"]],
  });

  wave = Option.String();

  protected override createOperation(): Operation {
    return new EditRules(new PauseWave(this.wave, false), this.author());
  }
}
