/**
 * Endpoints that must remain for other requests. With fewer, reserving one would cost callers more than an isolated
 * trial saves.
 */
export const MIN_OTHER_ENDPOINTS = 2

/** Whether a service with this many plain endpoints may reserve one for isolated trials. */
export function hasIsolatedTrials(endpoints: number): boolean {
  return endpoints > MIN_OTHER_ENDPOINTS
}
