/**
 * The command line for operators.
 *
 * @module
 */

// Internal: for tests, stand-ins and experiments only.
export * as exitCodes from "./exit_codes.ts";
export * as operatorClient from "./operator_client.ts";
export * as program from "./program.ts";
