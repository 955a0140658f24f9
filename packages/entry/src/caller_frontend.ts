/**
 * The interface between the entry process and its frontend for callers.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { ResultAsync } from "neverthrow";

/** Serves callers' requests. */
export interface CallerFrontend {
  /** Starts to listen and returns the bound address. */
  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError>;
  /**
   * Answers new and waiting requests with "not run". Resolves when no request is running and all
   * permits are returned.
   */
  drain(): Promise<void>;
  /** Stops the server and cancels all timers. */
  close(): void;
  /** Returns the recorded decisions about a request; an unknown request has no lines. */
  explain(requestId: string): schema.operator.Explanation;
}
