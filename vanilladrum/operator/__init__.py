"""What operators use: plans, printing, applying, reports."""
