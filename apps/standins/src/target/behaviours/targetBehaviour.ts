import type { ServerResponse } from "node:http";
import { HTTP_STATUS } from "../../http/constants.js";
import { answerBody } from "../answerBody.js";
import { WORK_HEADER } from "../constants.js";
import type { TargetBehaviourName, Work } from "../types.js";

/** How a target treats the requests that it runs. */
export abstract class TargetBehaviour {
  abstract readonly name: TargetBehaviourName;

  /**
   * @param workMs - Time that the request asks for.
   * @returns Time after which `answer` is called; null for never.
   */
  delayMs(workMs: number): number | null {
    return workMs;
  }

  /**
   * Answers a request, or fails to.
   *
   * @param response - The response, of which nothing was sent.
   * @param work - What the request asked for.
   */
  abstract answer(response: ServerResponse, work: Work): void;

  /** Sends the whole answer. */
  protected answerWhole(
    response: ServerResponse,
    work: Work,
    statusCode: number = HTTP_STATUS.OK,
  ): void {
    this.writeHead(response, work, statusCode);
    response.end(answerBody(work.tag, work.answerBytes));
  }

  /** Sends the head of the answer and half of its body, then cuts the connection. */
  protected answerHalf(response: ServerResponse, work: Work, cut: () => void): void {
    this.writeHead(response, work, HTTP_STATUS.OK);
    const half = answerBody(work.tag, work.answerBytes).slice(0, work.answerBytes >> 1);
    response.write(half, cut);
  }

  private writeHead(response: ServerResponse, work: Work, statusCode: number): void {
    response.writeHead(statusCode, {
      "content-type": "text/plain",
      "content-length": work.answerBytes,
      [WORK_HEADER.TAG]: work.tag,
    });
  }
}
