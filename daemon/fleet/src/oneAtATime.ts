/** Returns a function that runs a task; calls during a run cause one more run after it. */
export function oneAtATime(task: () => Promise<void>): () => void {
  let isRunning = false
  let isWanted = false
  const run = async () => {
    isRunning = true
    try {
      for (isWanted = true; isWanted;) {
        isWanted = false
        await task()
      }
    } finally {
      isRunning = false
    }
  }
  return () => {
    isWanted = true
    if (!isRunning) void run()
  }
}
