import { HTTP_STATUS } from "../http/constants.js";
import { HttpStandIn } from "../http/httpStandIn.js";
import type { CallerLoad } from "./callerLoad.js";

/** Probes of a load, and what it has seen so far. */
export class LoadControl extends HttpStandIn {
  /** @param load - The load. */
  constructor(load: CallerLoad) {
    super();
    this.route("GET", "/control/report", (_request, response) => {
      this.sendJson(response, HTTP_STATUS.OK, load.report());
    });
  }
}
