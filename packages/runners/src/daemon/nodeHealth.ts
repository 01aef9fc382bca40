import { isHostViewValid, NODE_ROLE, type State } from "@heatherferry/core";
import { HealthSource } from "../admin/adminServer.js";

/** Reports a daemon as ready once it has rules and, if it dispatches, a valid host view. */
export class NodeHealth extends HealthSource {
  /** @param state - The node's state, which is only read. */
  constructor(private readonly state: State) {
    super();
  }

  override notReadyReason(): string | null {
    const { node, revisions } = this.state;
    if (node.shutdownStartedAtMs !== null) {
      return "shutting down";
    }
    if (revisions.revision === 0) {
      return "no rules yet";
    }
    const dispatches = node.identity.role === NODE_ROLE.ENTRY;
    return dispatches && !isHostViewValid(this.state) ? "no view of the hosts yet" : null;
  }
}
