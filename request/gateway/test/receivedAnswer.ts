/** An answer as a caller received it. */
export interface ReceivedAnswer {
  status: number
  headers: Record<string, string | string[] | undefined>
  body: string
  /** Whether the answer was complete. */
  isWhole: boolean
}
