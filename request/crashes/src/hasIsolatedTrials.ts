/** Others must have this many besides: with fewer, keeping one free would cost more callers than a trial saves. */
export const MIN_OTHER_ENDPOINTS = 2

/** Whether one of so many plain endpoints of a service may be kept free for what must run alone. */
export function hasIsolatedTrials(endpoints: number): boolean {
  return endpoints > MIN_OTHER_ENDPOINTS
}
