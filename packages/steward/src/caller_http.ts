/**
 * The HTTP interface for jobs: `POST /v1/jobs`, `GET /v1/jobs/<id>`, `DELETE /v1/jobs/<id>`, each
 * with a team's key as bearer token. A 202 response means that the job or its cancellation is
 * durable.
 *
 * @module
 */
import { type Context, Hono } from "hono";
import * as uuid from "uuid";
import * as v from "valibot";
import * as schema from "@jackdawlink/schema";
import { JobNotFoundError } from "./job_manager.ts";
import { JobConflictError, SegmentFullError } from "./job_segments.ts";
import type { Steward } from "./steward.ts";
import { teamOf } from "./team_keys.ts";

type Status = 200 | 202 | 400 | 401 | 404 | 409 | 429 | 503;
type JackdawlinkError = schema.errors.JackdawlinkError;

/** The response to a failed request; the outcome is `not-run` if nothing was stored. */
interface Failure {
  readonly status: Status;
  readonly outcome: schema.http.Outcome;
}

/** The failures by error class; the first match counts. */
const FAILURES_BY_ERROR:
  readonly (readonly [new (...args: never[]) => JackdawlinkError, Failure])[] = [
    [JobNotFoundError, { status: 404, outcome: "not-run" }],
    [JobConflictError, { status: 409, outcome: "not-run" }],
    [SegmentFullError, { status: 429, outcome: "not-run" }],
  ];
/** The write may have taken effect; the caller may repeat the request with the same job id. */
const UNKNOWN_FAILURE: Failure = { status: 503, outcome: "unknown" };

/** The routes for callers, who submit jobs. */
export function callerApp(steward: Steward): Hono {
  const app = new Hono();
  app.post("/v1/jobs", async (context) => {
    const team = authenticatedTeam(context, steward);
    if (team === undefined) {
      return answerUnauthenticated(context, steward);
    }
    const body: unknown = await context.req.json().catch(() => undefined);
    const parsed = v.safeParse(schema.fleet.jobSubmissionSchema, body);
    if (!parsed.success) {
      const message = parsed.issues.map((issue) => issue.message).join("; ");
      return answerError(context, {
        message,
        type: "InvalidInputError",
        failure: { status: 400, outcome: "not-run" },
      });
    }
    const { jobId = uuid.v7(), ...spec } = parsed.output;
    const job = await steward.jobs.submit(team, { jobId, spec });
    return job.match((record) => context.json(publicJob(record), 202), answerFailure(context));
  });
  app.get("/v1/jobs/:id", async (context) => {
    const team = authenticatedTeam(context, steward);
    if (team === undefined) {
      return answerUnauthenticated(context, steward);
    }
    const job = await steward.jobs.get(team, context.req.param("id"));
    return job.match((record) => context.json(publicJob(record), 200), answerFailure(context));
  });
  app.delete("/v1/jobs/:id", async (context) => {
    const team = authenticatedTeam(context, steward);
    if (team === undefined) {
      return answerUnauthenticated(context, steward);
    }
    const job = await steward.jobs.cancel(team, context.req.param("id"));
    return job.match((record) => context.json(publicJob(record), 202), answerFailure(context));
  });
  return app;
}

/** The team of a request's key in the configuration of the current round, if any. */
function authenticatedTeam(context: Context, steward: Steward): string | undefined {
  const { round } = steward;
  return round && teamOf(context.req.header("authorization"), round.config);
}

/** Answers 401, or 503 while there is no current configuration to check the key against. */
function answerUnauthenticated(context: Context, { round }: Steward): Response {
  return round === undefined
    ? answerError(context, {
      type: "StoreUnavailableError",
      message: "The configuration is not known to be current",
      failure: { status: 503, outcome: "not-run" },
    })
    : answerError(context, {
      type: "UnauthorizedError",
      message: "The key is missing, unknown or withdrawn",
      failure: { status: 401, outcome: "not-run" },
    });
}

function answerFailure(context: Context): (error: JackdawlinkError) => Response {
  return (error) => {
    const failure = FAILURES_BY_ERROR.find(([errorClass]) => error instanceof errorClass)?.[1];
    return answerError(context, {
      type: error.name,
      message: error.message,
      failure: failure ?? UNKNOWN_FAILURE,
    });
  };
}

function answerError(
  context: Context,
  { type, message, failure }: { type: string; message: string; failure: Failure },
): Response {
  const { status, outcome } = failure;
  const requestId = uuid.v7();
  context.header(schema.http.OUTCOME_HEADER, outcome);
  return context.json({ error: { type, message, requestId, outcome } }, status);
}

/** The fields of a job that callers can see. */
function publicJob(job: schema.fleet.JobRecord): object {
  const { jobId, team, state, attempt, reason, submittedAtMs, endedAtMs } = job;
  return { jobId, team, state, attempt, reason, submittedAtMs, endedAtMs };
}
