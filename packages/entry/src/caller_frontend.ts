/**
 * What the entry needs of the part that serves callers.
 *
 * @module
 */
import type * as schema from "@jackdawlink/schema";
import type { ResultAsync } from "neverthrow";

/** Serves callers' requests. */
export interface CallerFrontend {
  /** Listens, and returns the address taken. */
  listen(address: string): ResultAsync<string, schema.errors.JackdawlinkError>;
  /**
   * Refuses new and waiting requests with "not run", and resolves once nothing runs and all permits are
   * returned.
   */
  drain(): Promise<void>;
  close(): void;
  /** The decisions about a request; none for an unknown one. */
  explain(requestId: string): schema.operator.Explanation;
}
