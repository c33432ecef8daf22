/** Detects requests that crash the endpoints that run them. */
export { isPart, partDigest, type PartDigest } from './partDigest'
export { contentDigest } from './contentDigest'
export type { ContentDigest, RequestContent } from './contentDigest'
export { CrashTracker } from './crashTracker'
export type { CrashTrackerOptions } from './crashTracker'
export { CrashReporter } from './crashReporter'
export type { CrashReporterOptions } from './crashReporter'
export { CRASH_REPORT } from './crashTypes'
export type {
  ContentAtCrash,
  ContentRefusal,
  CrashRecord,
  CrashTopology,
  Incarnation,
  RequestSubjects,
  SubjectDigest,
} from './crashTypes'
export { decideSending, refusalOf } from './decideSending'
export type { SendingDecision, SendingState } from './decideSending'
export { readCrashRecords } from './readCrashRecords'
export { CrashDetector } from './crashDetector'
export type { CrashDetectorOptions, ProbeResult, LostAttempt } from './crashDetector'
export { hasIsolatedTrials } from './hasIsolatedTrials'
export { readTrialRequest, readTrialEnd } from './readTrial'
export { TrialScheduler } from './trialScheduler'
export type { TrialSchedulerOptions } from './trialScheduler'
export { TRIAL_REQUEST, TRIAL_END } from './trialTypes'
export type { TrialAnswer, TrialRequest, TrialEnd } from './trialTypes'
