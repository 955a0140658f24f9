/**
 * The scheduler's decisions on jobs, workers and VMs.
 *
 * @module
 */
export * as crashSuspicion from "./crash_suspicion.ts";
export * as decisionPacing from "./decision_pacing.ts";
export * as demandTrend from "./demand_trend.ts";
export * as endProgress from "./end_progress.ts";
export * as evacuation from "./evacuation.ts";
export * as incarnationProof from "./incarnation_proof.ts";
export * as jobRecord from "./job_record.ts";
export * as ownerEligibility from "./owner_eligibility.ts";
export * as ownershipProof from "./ownership_proof.ts";
export * as pacing from "./pacing.ts";
export * as placement from "./placement.ts";
export * as poolPlan from "./pool_plan.ts";
export * as resources from "./resources.ts";
export * as scheduler from "./scheduler.ts";
export * as stepOrder from "./step_order.ts";
export * as strayRuns from "./stray_runs.ts";
export * as taskNames from "./task_names.ts";
export * as tokenBucket from "./token_bucket.ts";
export * as vmView from "./vm_view.ts";
export * as wavePlan from "./wave_plan.ts";
export * as workerRecord from "./worker_record.ts";
