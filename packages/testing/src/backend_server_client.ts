/**
 * Starts and controls stand-in backend servers from tests and benchmarks.
 *
 * @module
 */
import type * as faults from "./backend_server_faults.ts";
import type * as record from "./backend_server_record.ts";
import type * as processes from "./processes.ts";

/** Command-line options of the program. */
export interface StartBackendServerOptions {
  readonly name: string;
  readonly slots?: number;
  readonly address?: string;
  readonly meanRunMs?: number;
  readonly seed?: number;
  /** How long it keeps serving after SIGTERM, answering with `Connection: close`. */
  readonly lingerMs?: number;
}

/** A running stand-in and the client of its control interface. */
export class BackendServerClient {
  readonly name: string;
  readonly address: string;
  readonly program: processes.ChildProgram;

  constructor(name: string, program: processes.ChildProgram) {
    this.name = name;
    this.program = program;
    this.address = String(program.ready?.["address"]);
  }

  /** Fetches the record of what it ran. */
  async record(): Promise<record.BackendServerRecord> {
    const answer = await fetch(`http://${this.address}/control/record`);
    return await answer.json() as record.BackendServerRecord;
  }

  /** Replaces the active faults. */
  async setFaults(list: readonly faults.FaultInput[]): Promise<void> {
    await fetch(`http://${this.address}/control/faults`, {
      method: "POST",
      body: JSON.stringify({ faults: list }),
    });
  }

  /** Removes ended runs from the record and resets its maxima. */
  async reset(): Promise<void> {
    await fetch(`http://${this.address}/control/reset`, { method: "POST" });
  }
}

/** Starts one stand-in backend server process. */
export async function startBackendServer(
  host: processes.Processes,
  options: StartBackendServerOptions,
): Promise<BackendServerClient> {
  const values = {
    "--name": options.name,
    "--address": options.address ?? "127.0.0.1:0",
    "--slots": options.slots ?? 8,
    "--mean-run-ms": options.meanRunMs ?? 0,
    "--seed": options.seed ?? 1,
    "--linger-ms": options.lingerMs ?? 0,
  };
  const args = Object.entries(values).flatMap(([name, value]) => [name, String(value)]);
  const program = await host.start("stand-in-backend-server", { args });
  return new BackendServerClient(options.name, program);
}
